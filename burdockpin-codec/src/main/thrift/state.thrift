/**
 * The replicated state: the content of log entries and snapshots. Names, key hashes and
 * request identifiers are strings. All fields are set unless marked optional. Every struct,
 * union and enum has the name, fields and constants of the type in io.burdockpin.core.
 */
namespace java io.burdockpin.codec.thrift.generated.state

/**
 * One incarnation of an entry host. Tokens and claims belong to a holder, so that a restarted
 * entry host is not mistaken for its earlier incarnation.
 */
struct Holder {
  /** the entry host */
  1: string host,
  /** a number that is higher after each start */
  2: i64 incarnation,
}

/** Claims the only right to run a request. */
struct ClaimRequest {
  /** the team, or the reserved team of open queues */
  1: string team,
  /** the caller's identifier */
  2: string requestId,
  /** the claiming incarnation of an entry host */
  3: Holder holder,
  /**
   * identifies the request within the holder's incarnation; a claim with the same number is the same
   * claim, sent again before the request was started
   */
  4: optional i64 number,
}

/** Records that a claimed request ran. */
struct FinishClaim {
  /** the team */
  1: string team,
  /** the caller's identifier */
  2: string requestId,
  /** the incarnation that holds the claim */
  3: Holder holder,
  /** the HTTP status of the answer */
  4: i32 status,
  /** the content type of the answer, or an empty string */
  5: string contentType,
  /** whether the body is kept with the claim */
  6: bool bodyKept,
  /** the body if it is kept */
  7: binary body,
}

/** Gives a claim back because the request certainly did not run. */
struct ReleaseClaim {
  /** the team */
  1: string team,
  /** the caller's identifier */
  2: string requestId,
  /** the incarnation that holds the claim */
  3: Holder holder,
  /** the number of the claim; a late release must not release a later claim of the same incarnation */
  4: optional i64 number,
}

/** A change of the claims on requests that are not repeatable. */
union ClaimCommand {
  1: ClaimRequest claimRequest,
  2: FinishClaim finishClaim,
  3: ReleaseClaim releaseClaim,
}

/**
 * How much of a pool may be out of service at once. Hosts that failed on their own count as
 * out.
 */
struct AvailabilityBudget {
  /** the percentage of the pool's hosts that stay in service */
  1: i32 minimumInServicePercent,
  /** the number of hosts that may be out at once */
  2: i32 maximumHostsOut,
  /** the number of racks that may have a host out at once */
  3: i32 maximumRacksOut,
}

/** Creates a pool without hosts. */
struct CreatePool {
  /** the new pool */
  1: string pool,
  /** its availability budget */
  2: AvailabilityBudget budget,
  /** whether its hosts may be lent to other pools */
  3: bool spare,
}

/** Changes a pool. */
struct UpdatePool {
  /** the pool */
  1: string pool,
  /** the new availability budget */
  2: AvailabilityBudget budget,
  /** whether its hosts may be lent to other pools */
  3: bool spare,
}

/** Deletes a pool that has no hosts. */
struct DeletePool {
  /** the pool */
  1: string pool,
}

/** An amount of processor, memory and accelerators. */
struct Resources {
  /** thousandths of a processor core */
  1: i32 cpuMillicores,
  /** memory in MiB */
  2: i32 memoryMebibytes,
  /** whole accelerators */
  3: i32 accelerators,
}

/** The fixed properties of a host, as the operator states them. */
struct HostSpec {
  /** the host */
  1: string name,
  /** its data centre */
  2: string dataCentre,
  /** its rack */
  3: string rack,
  /** what it has to give to jobs */
  4: Resources capacity,
}

/** State of a host in its pool, with the transitions that are permitted from it. */
enum HostState {
  /** Takes new jobs. */
  IN_SERVICE = 1,
  /** Takes no new jobs; its jobs end or move. */
  DRAINING = 2,
  /** Is being rebooted or repaired and runs nothing. */
  IN_MAINTENANCE = 3,
  /** Has reported after maintenance or loss and is being checked. */
  RETURNING = 4,
  /** Has not reported for longer than its lease. */
  LOST = 5,
  /** Reports, but fails the jobs that it starts. */
  SET_ASIDE = 6,
  /** Was added and has not reported since. */
  AWAITED = 7,
}

/** Adds a host to a pool. */
struct AddHost {
  /** the host */
  1: HostSpec host,
  /** the pool it joins */
  2: string pool,
  /**
   * its first state, set by the entry host that takes the call; entries of earlier versions
   * have none and put the host in service
   */
  3: optional HostState state,
}

/** Moves a host to another pool. */
struct MoveHost {
  /** the host */
  1: string host,
  /** the pool it joins */
  2: string pool,
  /** whether to move it although it still runs jobs */
  3: bool force,
}

/** Moves an idle host in service from its spare pool to another pool until it returns. */
struct LendHost {
  /** the host */
  1: string host,
  /** the pool that borrows it */
  2: string pool,
}

/** Moves a lent, idle host in service back to its home pool. */
struct ReturnHost {
  /** the host */
  1: string host,
}

/** Removes a host that runs no jobs. */
struct RemoveHost {
  /** the host */
  1: string host,
}

/** Origin of a requested change of a host state. */
enum ChangeCause {
  /** An operator. */
  OPERATOR = 1,
  /** The maintenance planner. */
  PLANNER = 2,
  /** A report of the worker, or the lack of one. */
  WORKER_REPORT = 3,
}

/** Changes the state of a host. */
struct SetHostState {
  /** the host */
  1: string host,
  /** the new state */
  2: HostState state,
  /** the origin of the request */
  3: ChangeCause cause,
}

/** A team with its share and upper limit. */
struct TeamSpec {
  /** the team */
  1: string name,
  /** its weight when everything is full */
  2: i32 shareWeight,
  /** how many requests and jobs it may have running at once, fleet-wide */
  3: i32 upperLimit,
  /** processor capacity that planned stops must leave in service in the pools the team uses */
  4: i32 minimumCapacityMillicores,
}

/** Creates a team. */
struct CreateTeam {
  /** the team */
  1: TeamSpec team,
}

/** Changes share and limits of a team. */
struct UpdateTeam {
  /** the new values */
  1: TeamSpec team,
}

/** Deletes a team that has no jobs left. */
struct DeleteTeam {
  /** the team */
  1: string team,
}

/** Grants a key to a team. */
struct GrantKey {
  /** the team */
  1: string team,
  /** hash of the key */
  2: string keyHash,
  /** a name by which operators know the key */
  3: string label,
}

/** Withdraws a key for good. A withdrawn hash can never be granted again. */
struct WithdrawKey {
  /** hash of the key */
  1: string keyHash,
}

/** Creates a queue. */
struct CreateQueue {
  /** the queue */
  1: string queue,
  /** whether requests without a key are accepted */
  2: bool open,
}

/** Changes a queue. */
struct UpdateQueue {
  /** the queue */
  1: string queue,
  /** whether requests without a key are accepted */
  2: bool open,
}

/** Deletes a queue. */
struct DeleteQueue {
  /** the queue */
  1: string queue,
}

/** A change of the configuration. Exactly these commands are fed to the entry hosts. */
union ConfigurationCommand {
  1: CreatePool createPool,
  2: UpdatePool updatePool,
  3: DeletePool deletePool,
  4: AddHost addHost,
  5: MoveHost moveHost,
  6: RemoveHost removeHost,
  7: SetHostState setHostState,
  8: CreateTeam createTeam,
  9: UpdateTeam updateTeam,
  10: DeleteTeam deleteTeam,
  11: GrantKey grantKey,
  12: WithdrawKey withdrawKey,
  13: CreateQueue createQueue,
  14: UpdateQueue updateQueue,
  15: DeleteQueue deleteQueue,
  16: LendHost lendHost,
  17: ReturnHost returnHost,
}

/** Definition of a job, as submitted by a team. Resources and run time are estimates of the team. */
struct JobSpec {
  /** the submitting team */
  1: string team,
  /** the pool whose hosts may run the job */
  2: string pool,
  /** the declared size */
  3: Resources resources,
  /** the declared run time */
  4: i64 runMillis,
  /** whether the job has priority over others */
  5: bool urgent,
  /** whether the job may be started again after a loss */
  6: bool repeatable,
  /** the input that is handed to the worker */
  7: binary payload,
}

/** Accepts a job. A second submission with the same identifier changes nothing. */
struct SubmitJob {
  /** the job */
  1: string job,
  /** definition of the job */
  2: JobSpec spec,
}

/** Places a waiting job on a worker under a new lease epoch. */
struct PlaceJob {
  /** the job */
  1: string job,
  /** the worker */
  2: string worker,
  /** higher than any earlier epoch of the job */
  3: i64 leaseEpoch,
}

/** Records that the worker has started the job. */
struct ConfirmStart {
  /** the job */
  1: string job,
  /** the epoch the worker reports */
  2: i64 leaseEpoch,
}

/** Records the end of a job. */
struct FinishJob {
  /** the job */
  1: string job,
  /** the epoch the worker reports */
  2: i64 leaseEpoch,
  /** whether the job itself reports success */
  3: bool succeeded,
  /** what the job produced */
  4: binary result,
}

/**
 * Records that a job no longer runs and has not ended. A repeatable job waits again with its
 * checkpoint; another one ends with an unknown outcome unless it certainly never started.
 */
struct InterruptJob {
  /** the job */
  1: string job,
  /** the epoch that ended */
  2: i64 leaseEpoch,
  /** whether the worker confirmed that it never started the job */
  3: bool certainlyNotStarted,
  /** the newest checkpoint, or no bytes */
  4: binary checkpoint,
}

/** Cancels a job. A running job holds capacity until its worker confirms the stop. */
struct CancelJob {
  /** the job */
  1: string job,
  /** the requesting team */
  2: string team,
}

/** Parks a job that fits no host of its pool. */
struct ParkJob {
  /** the job */
  1: string job,
  /** why it cannot run */
  2: string reason,
}

/** Returns a parked job to the waiting jobs. */
struct UnparkJob {
  /** the job */
  1: string job,
}

/** Removes the result of an ended job that its team has fetched. */
struct AcknowledgeResult {
  /** the job */
  1: string job,
  /** the requesting team */
  2: string team,
}

/** A change of a job. */
union JobCommand {
  1: SubmitJob submitJob,
  2: PlaceJob placeJob,
  3: ConfirmStart confirmStart,
  4: FinishJob finishJob,
  5: InterruptJob interruptJob,
  6: CancelJob cancelJob,
  7: ParkJob parkJob,
  8: UnparkJob unparkJob,
  9: AcknowledgeResult acknowledgeResult,
}

/**
 * A maintenance campaign: every host of the named pools is drained, rebooted and returned
 * once.
 */
struct CampaignSpec {
  /** the campaign */
  1: string name,
  /** the pools, in the order in which they are worked on */
  2: list<string> pools,
  /** how many hosts may be out for this campaign at once */
  3: i32 maximumConcurrentHosts,
  /** how long a drain waits before it interrupts jobs */
  4: i64 drainMillis,
  /** wall-clock time in milliseconds since the epoch by which the campaign should end */
  5: i64 deadlineMillis,
  /**
   * number of hosts lost on their own during a wave above which the next wave waits for the
   * operator
   */
  6: i32 maximumUnplannedLosses,
}

/** Starts a campaign. */
struct StartCampaign {
  /** what to do */
  1: CampaignSpec campaign,
}

/** Stops a campaign from starting further drains. */
struct PauseCampaign {
  /** the campaign */
  1: string campaign,
  /** why, for the operator */
  2: string reason,
}

/** Lets a paused campaign go on. */
struct ResumeCampaign {
  /** the campaign */
  1: string campaign,
}

/** Ends a campaign. Hosts that are out return to service. */
struct CancelCampaign {
  /** the campaign */
  1: string campaign,
}

/** Starts the drain of a host for a campaign. Rejected when it would break a budget. */
struct StartDrain {
  /** the campaign */
  1: string campaign,
  /** the host */
  2: string host,
  /** the number of the wave, from 1 */
  3: i32 wave,
  /** time in milliseconds since the epoch at which jobs are interrupted */
  4: i64 drainDeadlineMillis,
  /** the boot that the host reported from before the drain, unset if it is not known */
  5: optional string bootId,
}

/** Records that a host has been maintained for a campaign. */
struct CompleteHost {
  /** the campaign */
  1: string campaign,
  /** the host */
  2: string host,
}

/** Ends a campaign whose hosts have all been maintained. */
struct CompleteCampaign {
  /** the campaign */
  1: string campaign,
}

/** A change of maintenance campaigns and drains. */
union MaintenanceCommand {
  1: StartCampaign startCampaign,
  2: PauseCampaign pauseCampaign,
  3: ResumeCampaign resumeCampaign,
  4: CancelCampaign cancelCampaign,
  5: StartDrain startDrain,
  6: CompleteHost completeHost,
  7: CompleteCampaign completeCampaign,
}

/** Registers a new incarnation of an entry host. Tokens of its earlier incarnations become blocked. */
struct RegisterHolder {
  /** the new incarnation */
  1: Holder holder,
  /** data centre of the entry host */
  2: string dataCentre,
}

/**
 * Sets how many tokens of a team a holder has. A higher count must fit under the limit; a
 * lower count has been confirmed by the holder or has expired.
 */
struct GrantTokens {
  /** the team */
  1: string team,
  /** the holder */
  2: Holder holder,
  /** tokens owned until returned */
  3: i32 ownedCount,
  /** tokens that expire unless they are renewed */
  4: i32 leasedCount,
  /**
   * version of the token record that the decision was based on, 0 if there was none; a late
   * command must not undo a newer grant
   */
  5: i64 expectedVersion,
}

/** Releases all tokens of an incarnation that can have no running requests any more. */
struct ReleaseHolder {
  /** the ended incarnation */
  1: Holder holder,
}

/** Declares an entry host destroyed. Its tokens become blocked as after a restart. */
struct ForgetHost {
  /** the entry host */
  1: string host,
}

/** A change of how the teams' upper limits are divided. */
union TokenCommand {
  1: RegisterHolder registerHolder,
  2: GrantTokens grantTokens,
  3: ReleaseHolder releaseHolder,
  4: ForgetHost forgetHost,
}

/**
 * A change of the replicated state. Commands are immutable and carry neither encoding nor
 * time.
 */
union Command {
  1: ClaimCommand claimCommand,
  2: ConfigurationCommand configurationCommand,
  3: JobCommand jobCommand,
  4: MaintenanceCommand maintenanceCommand,
  5: TokenCommand tokenCommand,
}

/**
 * A command together with what the state machine needs to apply it. This is the content of
 * one log entry.
 */
struct Proposal {
  /** time of the proposing leader in milliseconds since the epoch */
  1: i64 timeMillis,
  /** identifier under which a resend gets the first result again */
  2: optional string requestId,
  /** the version of the object that the proposer has seen */
  3: optional i64 expectedVersion,
  /** the change */
  4: Command command,
}

/** A pool in the replicated state. */
struct PoolRecord {
  /** the pool */
  1: string name,
  /** its availability budget */
  2: AvailabilityBudget budget,
  /** whether its hosts may be lent to other pools */
  3: bool spare,
  /** grows with each change */
  4: i64 version,
}

/**
 * A host in the replicated state. The single pool field makes it impossible that a host
 * belongs to two pools.
 */
struct HostRecord {
  /** its fixed properties */
  1: HostSpec spec,
  /** the pool it belongs to */
  2: string pool,
  /** its state */
  3: HostState state,
  /** grows with each change */
  4: i64 version,
  /** the spare pool that has lent it, unset if it is not lent; files of earlier versions have none */
  5: optional string homePool,
}

/** A team in the replicated state. */
struct TeamRecord {
  /** share and limits */
  1: TeamSpec spec,
  /** grows with each change */
  2: i64 version,
}

/**
 * A team key in the replicated state. A withdrawn key keeps its record, so that it cannot be
 * granted again.
 */
struct KeyRecord {
  /** hash of the key */
  1: string hash,
  /** the team */
  2: string team,
  /** a name by which operators know the key */
  3: string label,
  /** whether it has been withdrawn */
  4: bool withdrawn,
  /** grows with each change */
  5: i64 version,
}

/** A queue in the replicated state. */
struct QueueRecord {
  /** the queue */
  1: string name,
  /** whether requests without a key are accepted */
  2: bool open,
  /** grows with each change */
  3: i64 version,
}

/** The whole configuration at one log index. Immutable. */
struct ConfigurationSnapshot {
  /** the log index of the last change in it */
  1: i64 index,
  /** all pools */
  2: list<PoolRecord> pools,
  /** all hosts */
  3: list<HostRecord> hosts,
  /** all teams */
  4: list<TeamRecord> teams,
  /** all keys, withdrawn ones included */
  5: list<KeyRecord> keys,
  /** all queues */
  6: list<QueueRecord> queues,
}

/** A registered incarnation of an entry host. */
struct HolderRecord {
  /** the incarnation */
  1: Holder holder,
  /** data centre of the entry host */
  2: string dataCentre,
  /**
   * whether the incarnation has ended; its tokens stay counted until no request of it can be
   * running any more
   */
  3: bool blocked,
}

/** The tokens of one team that one incarnation of an entry host has. */
struct TokenRecord {
  /** the team */
  1: string team,
  /** the incarnation of an entry host */
  2: Holder holder,
  /** tokens owned until returned */
  3: i32 ownedCount,
  /** tokens that expire unless they are renewed */
  4: i32 leasedCount,
  /** log index of the last change */
  5: i64 version,
}

/** How far a claimed request got. */
enum ClaimState {
  /** The holder may be running it. */
  CLAIMED = 1,
  /** It ran and its answer was recorded. */
  FINISHED = 2,
}

/** A claim on a request that is not repeatable. */
struct ClaimRecord {
  /** the team */
  1: string team,
  /** the caller's identifier */
  2: string requestId,
  /** the incarnation of the entry host that has the claim */
  3: Holder holder,
  /** how far the request got */
  4: ClaimState state,
  /** HTTP status of the answer, 0 while there is none */
  5: i32 status,
  /** content type of the answer */
  6: string contentType,
  /** whether the body is kept */
  7: bool bodyKept,
  /** the kept body */
  8: binary body,
  /** identifies the request within the holder's incarnation, none in claims of earlier versions */
  9: optional i64 number,
}

/** State of a job. */
enum JobState {
  /** Accepted, not placed. */
  WAITING = 1,
  /** Cannot run on any host of its pool; the reason is kept with the job. */
  PARKED = 2,
  /** Placed on a worker; the start may have been delivered. */
  PLACED = 3,
  /** The worker has confirmed the start. */
  RUNNING = 4,
  /** Ended with a result. */
  SUCCEEDED = 5,
  /** Ended with an error that the job itself reported. */
  FAILED = 6,
  /** Cancelled by its team or by an operator. */
  CANCELLED = 7,
  /** Not repeatable and lost after its start may have been delivered. */
  OUTCOME_UNKNOWN = 8,
}

/** A job in the replicated state. */
struct JobRecord {
  /** the job */
  1: string id,
  /** definition of the job */
  2: JobSpec spec,
  /** how far it got */
  3: JobState state,
  /** the worker it is placed on */
  4: optional string worker,
  /** the newest lease epoch, 0 before the first placement */
  5: i64 leaseEpoch,
  /** whether its worker is to stop it for good */
  6: bool cancelRequested,
  /** when it was accepted, in milliseconds since the epoch */
  7: i64 submittedMillis,
  /** when its state last changed, in milliseconds since the epoch */
  8: i64 changedMillis,
  /** how often it was placed again after it had started */
  9: i32 moveCount,
  /** the reason for a parked, failed or unknown state, or an empty string */
  10: string detail,
  /** the newest checkpoint, or no bytes */
  11: binary checkpoint,
  /** what it produced, or no bytes */
  12: binary result,
}

/** State of a maintenance campaign. */
enum CampaignState {
  /** Starts drains as the budgets allow. */
  RUNNING = 1,
  /** Starts no further drains until the operator resumes it. */
  PAUSED = 2,
  /** All hosts have been maintained. */
  COMPLETED = 3,
  /** Ended by the operator. */
  CANCELLED = 4,
}

/** A host that a campaign has taken out of service. */
struct DrainRecord {
  /** the host */
  1: string host,
  /** time in milliseconds since the epoch at which its jobs are interrupted */
  2: i64 drainDeadlineMillis,
  /** the boot that the host reported from before the drain, unset if it is not known */
  3: optional string bootId,
}

/** A maintenance campaign in the replicated state. */
struct CampaignRecord {
  /** what to do */
  1: CampaignSpec spec,
  /** how far it got */
  2: CampaignState state,
  /** the number of the current wave, 0 before the first */
  3: i32 wave,
  /** the hosts that the current wave has taken out */
  4: list<DrainRecord> hostsOut,
  /** the hosts that have been maintained */
  5: list<string> hostsDone,
  /** why it is paused, or an empty string */
  6: string reason,
  /** grows with each change */
  7: i64 version,
  /** when it was started, in milliseconds since the epoch */
  8: i64 startedMillis,
  /** when it was completed or cancelled, in milliseconds since the epoch */
  9: optional i64 endedMillis,
}

/** The command took effect. */
struct Accepted {
  /** the new version of the changed object */
  1: i64 version,
}

/**
 * Stable error codes that callers and operators see. Each code states what is known about
 * whether the refused work ran.
 */
enum ErrorCode {
  /** The request or a value in it is malformed or out of range. */
  BAD_REQUEST = 1,
  /** The settings file is not usable. */
  BAD_SETTINGS = 2,
  /** The body is larger than the configured limit. */
  BODY_TOO_LARGE = 3,
  /** The queue does not exist. */
  UNKNOWN_QUEUE = 4,
  /** The pool does not exist. */
  UNKNOWN_POOL = 5,
  /** The host does not exist. */
  UNKNOWN_HOST = 6,
  /** The team does not exist. */
  UNKNOWN_TEAM = 7,
  /** The job does not exist or its result has expired. */
  UNKNOWN_JOB = 8,
  /** The campaign does not exist. */
  UNKNOWN_CAMPAIGN = 9,
  /** The name is already in use. */
  ALREADY_EXISTS = 10,
  /** The object is still in use. */
  STILL_IN_USE = 11,
  /** No team key came with the request. */
  KEY_MISSING = 12,
  /** The team key is not known. */
  KEY_UNKNOWN = 13,
  /** The team key has been withdrawn. */
  KEY_WITHDRAWN = 14,
  /** The key cannot be checked because the data centre has been cut off for too long. */
  KEY_UNVERIFIED = 15,
  /** The key belongs to another team than the one the request names. */
  KEY_OF_OTHER_TEAM = 16,
  /** The request deadline has passed. */
  DEADLINE_EXCEEDED = 17,
  /** The deadline passed before the work was started. */
  DEADLINE_EXCEEDED_BEFORE_START = 18,
  /** The team is at its upper limit. */
  TEAM_LIMIT_REACHED = 19,
  /** The queue is full. */
  QUEUE_FULL = 20,
  /** No runner is available for the queue. */
  NO_RUNNER = 21,
  /** The request identifier has been claimed and its outcome is not known yet. */
  ALREADY_CLAIMED = 22,
  /** The request has already run; its answer is no longer available. */
  ALREADY_RAN = 23,
  /** The identifier of a request that is not repeatable is missing or outside the window. */
  REQUEST_ID_REJECTED = 24,
  /** The expected version is not the current one. */
  VERSION_CONFLICT = 25,
  /** The host state does not permit the change. */
  STATE_CONFLICT = 26,
  /** The change would break an availability budget. */
  BUDGET_EXCEEDED = 27,
  /** No leader with a majority can be reached; the change was not proposed. */
  NO_MAJORITY = 28,
  /** It is not known whether the change or the work took effect. */
  OUTCOME_UNKNOWN = 29,
  /** The upstream answered in a way that cannot be passed on. */
  UPSTREAM_FAILED = 30,
  /** The process is stopping and takes no new work. */
  STOPPING = 31,
  /** A data file is corrupt. */
  DATA_CORRUPT = 32,
  /** A file could not be read, written or synced. */
  STORAGE_FAILED = 33,
  /** A frame or document could not be decoded. */
  DECODE_FAILED = 34,
  /** A connection could not be opened or was lost. */
  CONNECTION_FAILED = 35,
  /** An internal rule was broken. */
  INTERNAL = 36,
}

/** The command took no effect. */
struct Rejected {
  /** why */
  1: ErrorCode code,
  /** the reason in words */
  2: string message,
}

/** The deterministic result of applying a command. */
union CommandResult {
  1: Accepted accepted,
  2: Rejected rejected,
}

/** The first result of an operator command, kept so that a resend gets the same answer. */
struct DedupRecord {
  /** the identifier of the request */
  1: string requestId,
  /** time of the state machine when it was applied, in milliseconds since the epoch */
  2: i64 timeMillis,
  /** the command, to detect an identifier that is used for two commands */
  3: Command command,
  /** the first result */
  4: CommandResult result,
}

/** The whole replicated state at one log index. Immutable. */
struct FleetSnapshot {
  /** the log index of the last applied entry */
  1: i64 index,
  /** the largest proposal time seen, in milliseconds since the epoch */
  2: i64 timeMillis,
  /** the configuration part with its own index */
  3: ConfigurationSnapshot configuration,
  /** the registered incarnations of entry hosts */
  4: list<HolderRecord> holders,
  /** the tokens of each incarnation, in the order of teams */
  5: list<TokenRecord> tokens,
  /** the claims, in the order of their identifiers' times */
  6: list<ClaimRecord> claims,
  /** the jobs, in the order of submission */
  7: list<JobRecord> jobs,
  /** the campaigns */
  8: list<CampaignRecord> campaigns,
  /** the kept results of operator commands, oldest first */
  9: list<DedupRecord> dedups,
}
