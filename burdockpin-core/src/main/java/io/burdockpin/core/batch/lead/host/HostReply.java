package io.burdockpin.core.batch.lead.host;

/** Result of a host order. */
public enum HostReply {

	/** The order has been carried out, by this request or an earlier one. */
	DONE,

	/** The platform has seen a later leader. */
	FENCED,

	/** The host is down, moving or under maintenance. */
	HOST_NOT_UP,

	/** The host does not belong to the wave or does not exist. */
	UNKNOWN_HOST,

	/** The platform's rate limit for orders is exceeded. */
	RATE_LIMITED,

	/** No response arrived, so it is not known whether the order was carried out. */
	NO_ANSWER

}
