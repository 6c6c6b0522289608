package io.burdockpin.benchmark.capacity;

/** The streams of periodic messages between the system's own processes. */
enum TrafficStream {

	/** Heartbeats of the leader and their answers. */
	HEARTBEATS,

	/** Worker reports and orders. */
	WORKERS,

	/** Token reports and grants. */
	TOKENS,

	/** Status of other entry hosts. */
	PEERS,

	/** The heartbeat of the configuration feed. */
	FEED

}
