package io.burdockpin.runtime.socket;

/** Why a request was rejected or a connection was closed by the server. */
public enum RejectionCause {

	/** The listener holds as many received bytes as it may. */
	BYTES_HELD,

	/** The listener has as many connections as it may. */
	CONNECTIONS,

	/** The system has no file descriptor for another connection. */
	DESCRIPTORS,

	/** A header section was not complete in time. */
	HEAD_TIME,

	/** A body was received more slowly than the minimum rate. */
	BODY_RATE,

	/** No request was received for a long time. */
	IDLE_TIME,

	/** A request was not answered by its handler. */
	HANDLING_TIME,

	/** A header section is too long. */
	HEAD_BYTES,

	/** A body is too long. */
	BODY_BYTES,

	/** Too many empty lines come before a request. */
	EMPTY_LINES,

	/** The framing of a chunked body is too long. */
	CHUNK_OVERHEAD,

	/** A request does not follow the protocol. */
	MALFORMED

}
