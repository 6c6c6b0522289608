package io.burdockpin.core.batch.lead;

/** What became of an order about a host. */
public enum HostReply {

	/** The order was carried out, now or before. */
	DONE,

	/** The platform has seen a later leader. */
	FENCED,

	/** The host is not up. */
	BUSY,

	/** The host does not belong to the wave or does not exist. */
	UNKNOWN_HOST,

	/** The platform takes no more orders now. */
	LIMITED,

	/** Nothing is known about the order. */
	NO_ANSWER

}
