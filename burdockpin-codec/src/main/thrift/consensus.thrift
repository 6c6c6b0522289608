/**
 * Messages between control members, one ConsensusEnvelope in each frame, and the content of
 * the log and snapshot files. Generated from this folder with
 * thrift --gen java:generated_annotations=suppress,private_members -out ../java consensus.thrift
 */
namespace java io.burdockpin.codec.thrift.generated.consensus

/** One data folder of one control member. */
struct MemberId {
  /** the host of the member */
  1: string host,
  /** identifies the data folder */
  2: i64 incarnation,
}

/** Whether a member counts for majorities. */
enum MemberRole {
  VOTER = 1,
  LEARNER = 2,
}

/** A member of the control group. */
struct Member {
  1: MemberId id,
  2: MemberRole role,
  /** where it listens for other members, ip:port */
  3: string address,
}

/** The members of the control group at one log index. */
struct Membership {
  1: list<Member> members,
}

/** A command of the state machine. */
struct CommandContent {
  /** an encoded proposal */
  1: binary payload,
}

/** New members of the control group. */
struct MembershipContent {
  1: Membership membership,
}

/** Content of a log entry; the payload of a record of the log file. */
union EntryContent {
  1: CommandContent commandContent,
  2: MembershipContent membershipContent,
}

/** An entry of the replicated log. */
struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: EntryContent content,
}

/** The state machine after one log index; the content of a snapshot file. */
struct Snapshot {
  1: i64 index,
  2: i64 term,
  3: i64 membershipIndex,
  4: Membership membership,
  5: binary state,
}

/** Requests a vote. */
struct VoteRequest {
  1: i64 term,
  2: bool preVote,
  3: bool transfer,
  4: i64 lastIndex,
  5: i64 lastTerm,
}

/** Answers a VoteRequest. */
struct VoteReply {
  1: i64 term,
  2: bool preVote,
  3: bool granted,
}

/** Appends entries; also serves as heartbeat of the leader. */
struct AppendRequest {
  1: i64 term,
  2: i64 previousIndex,
  3: i64 previousTerm,
  4: list<LogEntry> entries,
  5: i64 commitIndex,
  6: i64 round,
  /** the leader's clock when it sent this, in milliseconds */
  7: i64 sentMillis,
}

/** Answers an AppendRequest after the sync. */
struct AppendReply {
  1: i64 term,
  2: bool matched,
  3: i64 index,
  4: i64 round,
  5: i64 sentMillis,
}

/** A part of a snapshot. */
struct SnapshotChunk {
  1: i64 term,
  2: i64 index,
  3: i64 indexTerm,
  4: i64 membershipIndex,
  5: Membership membership,
  6: i32 offsetBytes,
  7: i32 totalBytes,
  8: binary bytes,
  9: i64 round,
  10: i64 sentMillis,
}

/** Answers a SnapshotChunk. */
struct SnapshotReply {
  1: i64 term,
  2: i64 index,
  3: i32 nextOffsetBytes,
  4: bool installed,
  5: i64 round,
  6: i64 sentMillis,
}

/** Requests that the receiver starts an election immediately. */
struct TimeoutNow {
  1: i64 term,
}

/** A message that a member answers. */
union ConsensusRequest {
  1: VoteRequest voteRequest,
  2: AppendRequest appendRequest,
  3: SnapshotChunk snapshotChunk,
  4: TimeoutNow timeoutNow,
}

/** An answer. */
union ConsensusReply {
  1: VoteReply voteReply,
  2: AppendReply appendReply,
  3: SnapshotReply snapshotReply,
}

/** The configuration that an entry host has in force. */
struct FeedConfirmation {
  1: string host,
  2: string dataCentre,
  3: i64 appliedIndex,
}

/** Tells the leader which entry hosts have which configuration in force. */
struct FeedReport {
  1: i64 term,
  2: list<FeedConfirmation> confirmations,
}

/** A message that does not concern the replicated log. */
union ConsensusNotice {
  1: FeedReport feedReport,
}

/** One of the messages. */
union ConsensusMessage {
  1: ConsensusRequest request,
  2: ConsensusReply reply,
  3: ConsensusNotice notice,
}

/** A time that orders causally related events even when the clocks of two hosts differ. */
struct HybridTimestamp {
  1: i64 wallMillis,
  2: i32 counter,
}

/** A message with its sender and receiver. */
struct ConsensusEnvelope {
  1: string cluster,
  2: MemberId sender,
  3: MemberId receiver,
  /** index of the newest membership that the sender knows */
  4: i64 membershipIndex,
  5: HybridTimestamp timestamp,
  6: ConsensusMessage message,
}
