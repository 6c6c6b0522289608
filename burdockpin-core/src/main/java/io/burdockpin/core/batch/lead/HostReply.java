package io.burdockpin.core.batch.lead;

/** What became of an order about a host. */
public enum HostReply {

	/** The order was carried out, now or before. */
	DONE,

	/** The platform has seen a later leader. */
	FENCED,

	/** The host is not up. */
	HOST_NOT_UP,

	/** The host does not belong to the wave or does not exist. */
	UNKNOWN_HOST,

	/** The platform takes no more orders now. */
	RATE_LIMITED,

	/** Nothing is known about the order. */
	NO_ANSWER

}
