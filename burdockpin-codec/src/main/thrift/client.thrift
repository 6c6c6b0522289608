/**
 * Messages between entry hosts and control members, one ClientEnvelope in each frame.
 */
namespace java io.burdockpin.codec.thrift.generated.client

include "state.thrift"

/** A time that orders causally related events even when the clocks of two hosts differ. */
struct HybridTimestamp {
  /** the largest wall-clock time seen, in milliseconds since the epoch */
  1: i64 wallMillis,
  /** orders events with equal wall-clock time */
  2: i32 counter,
}

/** Entry host to member: asks for the configuration feed. */
struct Subscribe {
  /** data centre of the entry host */
  1: string dataCentre,
  /** index of the configuration it has, 0 if none */
  2: i64 appliedIndex,
}

/** Member to entry host: the whole configuration. */
struct FeedSnapshot {
  /** the configuration */
  1: state.ConfigurationSnapshot configuration,
}

/** Member to entry host: one committed and accepted configuration change. */
struct FeedUpdate {
  /**
   * index of the configuration change before this one; a receiver with a lower index has
   * missed a change and subscribes again
   */
  1: i64 previousIndex,
  /** log index of the change */
  2: i64 index,
  /** the change */
  3: state.Proposal proposal,
}

/** Member to entry host, every second: the member is alive and can or cannot reach a majority. */
struct FeedHeartbeat {
  /** index of the newest configuration change it has applied */
  1: i64 configurationIndex,
  /** the leader that it follows */
  2: optional string leader,
  /** whether a leader has contacted it within the election timeout */
  3: bool majorityReachable,
}

/** Entry host to member: the configuration up to an index is in force. */
struct FeedAcknowledgement {
  /** the index */
  1: i64 appliedIndex,
}

/** Entry host to leader: proposes a command. */
struct Propose {
  /** number of the request */
  1: i64 correlation,
  /** identifier for resends */
  2: optional string requestId,
  /** version of the object that the proposer has seen */
  3: optional i64 expectedVersion,
  /** the change */
  4: state.Command command,
}

/** Reply: the command was applied with this result. */
struct ProposeReply {
  /** number of the request */
  1: i64 correlation,
  /** its log index */
  2: i64 index,
  /** the result */
  3: state.CommandResult result,
  /** data centres with entry hosts that have not confirmed a configuration change */
  4: list<string> unconfirmed,
}

/**
 * Reply: the request was certainly not proposed, because the member is not the leader or
 * cannot reach a majority.
 */
struct NotLeader {
  /** number of the request */
  1: i64 correlation,
  /** the leader if known */
  2: optional string leader,
}

/** Reply: it is unknown whether the command will be applied. */
struct ProposalUnknown {
  /** number of the request */
  1: i64 correlation,
}

/**
 * Entry host to leader: asks for an index that is at least as new as every change
 * acknowledged before.
 */
struct ReadIndex {
  /** number of the request */
  1: i64 correlation,
}

/** Reply to ReadIndex. */
struct ReadIndexReply {
  /** number of the request */
  1: i64 correlation,
  /** index of the newest configuration change */
  2: i64 configurationIndex,
}

/** Kinds of changes to the members of the control group. */
enum MemberChangeKind {
  /** Adds a member that first catches up without a vote. */
  ADD = 1,
  /** Replaces the member on a host that lost its disk by its new incarnation. */
  REPLACE = 2,
  /** Removes a member. */
  REMOVE = 3,
}

/**
 * Entry host to leader: changes the members of the control group, one at a time. The reply
 * is a ProposeReply.
 */
struct ChangeMember {
  /** number of the request */
  1: i64 correlation,
  /** identifier for resends */
  2: string requestId,
  /** the kind of change */
  3: MemberChangeKind kind,
  /** the host of the member */
  4: string host,
  /** identifies the data folder of the new member */
  5: i64 incarnation,
  /** where the new member listens for other members, ip:port */
  6: string address,
}

/** All jobs, without their payloads. */
struct ListJobs {
}

/** One job with its result. */
struct ShowJob {
  /** the job */
  1: string job,
}

/** All campaigns. */
struct ListCampaigns {
}

/** The tokens of all holders. */
struct ListTokens {
}

/** The members of the control group. */
struct ListMembers {
}

/** The configuration. */
struct ShowConfiguration {
}

/** Explains the current state of a job. */
struct ExplainJob {
  /** the job */
  1: string job,
}

/** The claim on a request that is not repeatable, with its kept answer. */
struct ShowClaim {
  /** the team, or the reserved team of open queues */
  1: string team,
  /** the caller's identifier */
  2: string requestId,
}

/** A query to a control member. */
union Query {
  1: ListJobs listJobs,
  2: ShowJob showJob,
  3: ListCampaigns listCampaigns,
  4: ListTokens listTokens,
  5: ListMembers listMembers,
  6: ShowConfiguration showConfiguration,
  7: ExplainJob explainJob,
  8: ShowClaim showClaim,
}

/** Entry host to leader: asks for records. */
struct QueryRequest {
  /** number of the request */
  1: i64 correlation,
  /** the query */
  2: Query query,
}

/** Jobs; empty when a single job was asked for that does not exist. */
struct Jobs {
  /** the jobs */
  1: list<state.JobRecord> jobs,
}

/** Campaigns. */
struct Campaigns {
  /** the campaigns */
  1: list<state.CampaignRecord> campaigns,
}

/** Tokens and their holders. */
struct Tokens {
  /** the registered incarnations of entry hosts */
  1: list<state.HolderRecord> holders,
  /** their tokens */
  2: list<state.TokenRecord> tokens,
}

/** A member of the control group as the answering member sees it. */
struct MemberStatus {
  /** the host it runs on */
  1: string host,
  /** identifies its data folder */
  2: i64 incarnation,
  /** whether it votes */
  3: bool voter,
  /** whether it leads */
  4: bool leader,
  /** the log index it is known to have, 0 if unknown */
  5: i64 matchIndex,
  /** time since its last contact, 0 if unknown */
  6: i64 silentMillis,
}

/** Members of the control group. */
struct Members {
  /** the members */
  1: list<MemberStatus> members,
}

/** The configuration. */
struct ConfigurationResult {
  /** the configuration */
  1: state.ConfigurationSnapshot configuration,
}

/** An explanation in short sentences. */
struct Explanation {
  /** the sentences */
  1: list<string> lines,
}

/** Claims; empty when the claim that was asked for does not exist. */
struct Claims {
  /** the claims */
  1: list<state.ClaimRecord> claims,
}

/** Answers to queries. */
union QueryResult {
  1: Jobs jobs,
  2: Campaigns campaigns,
  3: Tokens tokens,
  4: Members members,
  5: ConfigurationResult configurationResult,
  6: Explanation explanation,
  7: Claims claims,
}

/** Reply to QueryRequest. */
struct QueryReply {
  /** number of the request */
  1: i64 correlation,
  /** applied log index of the answering member */
  2: i64 index,
  /** whether the answer is confirmed by a majority */
  3: bool current,
  /** the records */
  4: QueryResult result,
}

/** Use of one team's tokens. */
struct TokenUsage {
  /** the team */
  1: string team,
  /** tokens the holder counts as its own */
  2: i32 heldCount,
  /** tokens in use */
  3: i32 inUseCount,
  /** requests that wait for a token */
  4: i32 waitingCount,
}

/**
 * Entry host to leader, every second and at once when demand grows: use of tokens. Also
 * renews the leased tokens.
 */
struct TokenReport {
  /** number of the message; the reply repeats it */
  1: i64 correlation,
  /** the reporting incarnation of the entry host */
  2: state.Holder holder,
  /**
   * number of the report, increases within an incarnation; the holder counts its leases from the time it
   * sent the report that the reply names
   */
  3: i64 sequence,
  /** term of the newest TokenGrants that the holder applied, 0 if none */
  4: i64 seenTerm,
  /** number of the report that those grants answered */
  5: i64 seenSequence,
  /** one for each team with tokens or demand, or with other numbers than in the base */
  6: list<TokenUsage> usages,
  /**
   * number of the answered report that this one only names the differences to, 0 if it is
   * whole
   */
  7: i64 baseSequence,
  /** teams of the base that have neither tokens nor demand any more */
  8: list<string> removed,
  /** which of the answers to that report the applied grants were */
  9: i64 seenAnswer,
}

/** The tokens of one team. */
struct TokenGrant {
  /** the team */
  1: string team,
  /** tokens owned until returned */
  2: i32 ownedCount,
  /** tokens that expire unless they are renewed */
  3: i32 leasedCount,
  /**
   * how many the holder should keep; it reduces its count to this as tokens become idle and
   * says so in its next report
   */
  4: i32 targetCount,
}

/**
 * Leader to entry host: the tokens it has, and how many of them it should give back. Sent as
 * the answer to a report, and again without a further report when tokens become free that the
 * report asked for.
 */
struct TokenGrants {
  /** number of the message it answers, 0 if it is sent again */
  1: i64 correlation,
  /** term of the leader; a holder ignores grants of an older term */
  2: i64 term,
  /**
   * number of the report it answers; a holder ignores grants that do not answer its newest
   * report
   */
  3: i64 sequence,
  /** how long the leased tokens stay valid after the report was sent */
  4: i64 leaseMillis,
  /** one for each team, or for each with other numbers than in the base */
  5: list<TokenGrant> grants,
  /**
   * number of the report whose applied answer, as the answered report names it, these grants
   * only name the differences to, 0 if they are whole
   */
  6: i64 baseSequence,
  /** teams of the base without a grant */
  7: list<string> removed,
  /**
   * 0 for the first answer to the report, higher for each later one; a holder ignores an
   * answer that is not higher than the one it has applied
   */
  8: i64 answer,
}

/**
 * Leader to entry host, instead of TokenGrants: the reporting incarnation is no longer registered
 * because an operator has declared the host destroyed. The host starts a new incarnation.
 */
struct HolderForgotten {
  /** number of the message it answers */
  1: i64 correlation,
  /** term of the leader */
  2: i64 term,
  /** number of the report it answers */
  3: i64 sequence,
}

/** Phase of a job, as reported by its worker. */
enum JobPhase {
  /** Runs. */
  RUNNING = 1,
  /** Ended well; the content is the result. */
  SUCCEEDED = 2,
  /** Ended with an error of its own; the content describes it. */
  FAILED = 3,
  /** Stopped before its end; the content is the checkpoint. */
  STOPPED = 4,
  /** Was refused and certainly never started. */
  NOT_STARTED = 5,
}

/** Report of a worker about one job. */
struct JobReport {
  /** the job */
  1: string job,
  /** the epoch under which it runs */
  2: i64 leaseEpoch,
  /** the current phase */
  3: JobPhase phase,
  /** resource usage of the job */
  4: state.Resources usage,
  /** the result or checkpoint, depending on the phase */
  5: binary content,
}

/** What one worker reported. */
struct WorkerReport {
  /** the worker */
  1: string worker,
  /** changes when the host reboots */
  2: string bootId,
  /**
   * number of the worker's report, repeated in the orders so that the worker counts its
   * leases from when it sent that report
   */
  3: i64 sequence,
  /** resource usage of its jobs, measured with a delay */
  4: state.Resources usage,
  /** the jobs it runs or has ended */
  5: list<JobReport> jobs,
}

/** A worker that has announced itself and whose last report is still valid. */
struct UnchangedWorker {
  /** the worker */
  1: string worker,
  /** number of the worker's newest report */
  2: i64 sequence,
}

/**
 * Entry host to leader: what its workers reported since the last batch. A worker that is
 * not named has announced itself within heardWithinMillis and has nothing new to say,
 * unless it was listed as silent.
 */
struct WorkerReports {
  /** number of the message; the reply repeats it */
  1: i64 correlation,
  /** increases within an incarnation of the entry host each time it sends a full report */
  2: i64 generation,
  /** number of the batch within its generation, from 0 without gaps */
  3: i64 number,
  /** the longest time since the last announcement of a worker that is not silent */
  4: i64 heardWithinMillis,
  /** workers whose report has changed noticeably */
  5: list<WorkerReport> reports,
  /** workers whose report is still valid and whose leases are to be renewed */
  6: list<UnchangedWorker> unchanged,
  /** workers that no longer announce themselves here */
  7: list<string> silent,
}

/** What a worker is ordered to do with a job. */
enum JobOrderKind {
  /** Start it, from its checkpoint if there is one. */
  START = 1,
  /** Write a checkpoint and stop it. */
  STOP = 2,
  /** Write a checkpoint and go on. */
  CHECKPOINT = 3,
  /** Limit its processor share. */
  THROTTLE = 4,
  /** The leader has recorded the reported end; the worker may forget the job. */
  FORGET = 5,
}

/** An order about one job. */
struct JobOrder {
  /** the job */
  1: string job,
  /** the epoch it is valid for */
  2: i64 leaseEpoch,
  /** what to do */
  3: JobOrderKind kind,
  /** the declared size, for a start */
  4: state.Resources resources,
  /** the declared run time, for a start */
  5: i64 runMillis,
  /** whether the job may be started again; only then it stops at the end of its lease */
  6: bool repeatable,
  /** payload for a start; the checkpoint to resume from is in the field checkpoint */
  7: binary content,
  /** the checkpoint to resume from, or no bytes */
  8: binary checkpoint,
  /** processor share that is left to the job, for a throttle */
  9: i32 throttlePercent,
}

/** Orders for one worker. */
struct WorkerOrder {
  /** the worker */
  1: string worker,
  /** number of the report this answers */
  2: i64 sequence,
  /** how long the renewed leases last from when that report was sent */
  3: i64 leaseMillis,
  /** jobs whose lease is renewed */
  4: list<string> renewed,
  /** what to do with jobs */
  5: list<JobOrder> orders,
}

/**
 * Leader to entry host: orders for workers. A worker that the batch named and that has no
 * order here keeps the leases of all jobs it reported as running, unless everything is to
 * be sent again.
 */
struct WorkerOrders {
  /** number of the batch it answers */
  1: i64 correlation,
  /** how long renewed leases last from when the worker sent its report */
  2: i64 leaseMillis,
  /** whether the leader lacks earlier batches, so that everything must be sent again */
  3: bool resend,
  /** one for each worker with orders */
  4: list<WorkerOrder> orders,
}

/**
 * Content of the messages between entry hosts and control members. Requests with a
 * correlation number get one reply with the same number; a lost connection means that the
 * reply will not come.
 */
union ClientMessage {
  1: Subscribe subscribe,
  2: FeedSnapshot feedSnapshot,
  3: FeedUpdate feedUpdate,
  4: FeedHeartbeat feedHeartbeat,
  5: FeedAcknowledgement feedAcknowledgement,
  6: Propose propose,
  7: ProposeReply proposeReply,
  8: NotLeader notLeader,
  9: ProposalUnknown proposalUnknown,
  10: ReadIndex readIndex,
  11: ReadIndexReply readIndexReply,
  12: ChangeMember changeMember,
  13: QueryRequest queryRequest,
  14: QueryReply queryReply,
  15: TokenReport tokenReport,
  16: TokenGrants tokenGrants,
  17: WorkerReports workerReports,
  18: WorkerOrders workerOrders,
  19: HolderForgotten holderForgotten,
}

/** A message between an entry host and a control member. */
struct ClientEnvelope {
  /** the sending process */
  1: state.Holder sender,
  /** hybrid time of the sender */
  2: HybridTimestamp timestamp,
  /** the content */
  3: ClientMessage message,
}
