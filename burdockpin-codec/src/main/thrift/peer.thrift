/**
 * Messages between entry hosts, one PeerEnvelope in each frame. The host that opened a
 * connection sends requests and status on it; the other one sends only answers.
 */
namespace java io.burdockpin.codec.thrift.generated.peer

include "state.thrift"
include "client.thrift"

/** What an entry host can take for one queue. */
struct QueueStatus {
  /** the queue */
  1: string queue,
  /** slots of its attached runners */
  2: i32 slots,
  /** the free ones */
  3: i32 freeSlots,
  /** requests that wait */
  4: i32 waiting,
  /** recent service time in milliseconds */
  5: i64 serviceMillis,
}

/** What the sender can take. Sent first on a connection and from time to time. */
struct PeerStatus {
  /** number of the status, grows within a life of the sender */
  1: i64 number,
  /** where it stands */
  2: string dataCentre,
  /** where it takes announcements, ip:port */
  3: string httpAddress,
  /** whether it takes no new work */
  4: bool stopping,
  /** index of the configuration in force there */
  5: i64 configurationIndex,
  /** its queues with attached runners */
  6: list<QueueStatus> queues,
  /** clock of the sender when it sent this, in milliseconds */
  7: i64 clockMillis,
}

/** What has changed in what the sender can take, sent every 200 ms otherwise. */
struct PeerStatusChange {
  /** number of the status; the change applies only to the one before it */
  1: i64 number,
  /** whether it takes no new work */
  2: bool stopping,
  /** index of the configuration in force there */
  3: i64 configurationIndex,
  /** queues whose numbers have changed */
  4: list<QueueStatus> queues,
  /** queues without attached runners */
  5: list<string> removed,
}

/** Asks for one attempt of a request. */
struct ForwardRequest {
  /** number of the attempt, unique in the life of the sender */
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
  /** the life of the entry host that asked for it */
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

/** Gives a forwarded attempt up. */
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

/** Asks for the configuration in force, after a restart. */
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
  /** the sending life of an entry host */
  1: state.Holder sender,
  /** hybrid time of the sender */
  2: client.HybridTimestamp timestamp,
  /** the content */
  3: PeerMessage message,
}
