/**
 * Messages between entry hosts, one PeerEnvelope in each frame. The host that opened a
 * connection sends requests and status on it; the other one sends only answers.
 */
namespace java io.burdockpin.codec.thrift.generated.peer

include "state.thrift"
include "client.thrift"

/** Capacity of an entry host for one queue. */
struct QueueStatus {
  /** the queue */
  1: string queue,
  /** slots of its attached runners */
  2: i32 slots,
  /** number of free slots */
  3: i32 freeSlots,
  /** requests that wait */
  4: i32 waiting,
  /** recent service time in milliseconds */
  5: i64 serviceMillis,
}

/** Capacity of the sender. Sent first on a connection and repeated periodically. */
struct PeerStatus {
  /** number of the status, increases within an incarnation of the sender */
  1: i64 number,
  /** data centre of the sender */
  2: string dataCentre,
  /** address on which it accepts announcements, ip:port */
  3: string httpAddress,
  /** whether it accepts no new work */
  4: bool stopping,
  /** index of the configuration in force there */
  5: i64 configurationIndex,
  /** its queues with attached runners */
  6: list<QueueStatus> queues,
  /** clock of the sender when it sent this, in milliseconds */
  7: i64 clockMillis,
}

/** Changes of the capacity of the sender since the previous status; sent every 200 ms between full ones. */
struct PeerStatusChange {
  /** number of the status; the change applies only to the one before it */
  1: i64 number,
  /** whether it accepts no new work */
  2: bool stopping,
  /** index of the configuration in force there */
  3: i64 configurationIndex,
  /** queues whose numbers have changed */
  4: list<QueueStatus> queues,
  /** queues without attached runners */
  5: list<string> removed,
}

/** Requests one attempt of a request. */
struct ForwardRequest {
  /** number of the attempt, unique within the incarnation of the sender */
  1: i64 attempt,
  /** the queue */
  2: string queue,
  /** the team, none on an open queue */
  3: optional string team,
  /** identifier of the request */
  4: string requestId,
  /** time left until the deadline when this was sent, in milliseconds */
  5: i64 remainingMillis,
  /** content type of the body */
  6: string contentType,
  /** the body */
  7: binary body,
  /** whether the request may run more than once */
  8: bool repeatable,
  /** the deadline by the clock of the receiver, none if the sender does not know that clock */
  9: optional i64 receiverDeadlineMillis,
}

/** What is known about whether an attempt ran. */
enum Outcome {
  /** It is certain that it did not run. */
  NOT_RUN = 1,
  /** It may have run. */
  UNKNOWN = 2,
  /** It ran and its whole answer arrived. */
  RAN = 3,
}

/** How a forwarded attempt ended. */
struct ForwardAnswer {
  /** number of the attempt */
  1: i64 attempt,
  /** the incarnation of the entry host that requested it */
  2: i64 senderIncarnation,
  /** whether it ran */
  3: Outcome outcome,
  /** the reason if it has no answer */
  4: state.ErrorCode code,
  /** the reason in words */
  5: string message,
  /** HTTP status of the answer, 0 if there is none */
  6: i32 status,
  /** content type of the answer */
  7: string contentType,
  /** body of the answer */
  8: binary body,
}

/** Cancels a forwarded attempt. */
struct CancelForward {
  /** number of the attempt */
  1: i64 attempt,
}

/** Keys that no longer work. */
struct KeyWithdrawn {
  /** their SHA-256 hashes, 64 hexadecimal digits each */
  1: list<string> keyHashes,
}

/** Answer to KeyWithdrawn: the keys no longer work at the sender. */
struct KeyWithdrawnAcknowledged {
  /** their SHA-256 hashes, 64 hexadecimal digits each */
  1: list<string> keyHashes,
}

/** Requests the configuration in force, after a restart. */
struct AskConfiguration {
  /** index of the configuration that the sender has, 0 if none */
  1: i64 appliedIndex,
}

/** Answer to AskConfiguration, given only if the sender has a newer one. */
struct ConfigurationKnown {
  /** queues, teams and keys in force; pools and hosts are left out */
  1: state.ConfigurationSnapshot configuration,
}

/** Content of a message. */
union PeerMessage {
  1: PeerStatus peerStatus,
  2: ForwardRequest forwardRequest,
  3: ForwardAnswer forwardAnswer,
  4: CancelForward cancelForward,
  5: KeyWithdrawn keyWithdrawn,
  6: KeyWithdrawnAcknowledged keyWithdrawnAcknowledged,
  7: AskConfiguration askConfiguration,
  8: ConfigurationKnown configurationKnown,
  9: PeerStatusChange peerStatusChange,
}

/** One frame. */
struct PeerEnvelope {
  /** the incarnation of the sending entry host */
  1: state.Holder sender,
  /** hybrid time of the sender */
  2: client.HybridTimestamp timestamp,
  /** the content */
  3: PeerMessage message,
}
