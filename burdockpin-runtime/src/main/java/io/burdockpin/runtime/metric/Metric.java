package io.burdockpin.runtime.metric;

/**
 * The metrics of all programs. Names follow the conventions of Prometheus: base units,
 * {@code _seconds} and {@code _bytes}; the exposition adds {@code _total} to counters.
 */
public enum Metric {

	/** Answered requests by queue, outcome and error code. */
	REQUESTS(MetricType.COUNTER, "burdock_requests", "Requests answered by queue, outcome and code", "queue", "outcome",
			"code"),

	/** Time from the arrival of a request to its response. */
	REQUEST_DURATION(MetricType.HISTOGRAM, "burdock_request_duration_seconds", "Time from arrival to answer", "queue"),

	/** Attempts sent to runners. */
	ATTEMPTS(MetricType.COUNTER, "burdock_attempts", "Attempts on runners by queue and outcome", "queue", "outcome"),

	/** Requests waiting for a slot or token. */
	QUEUE_LENGTH(MetricType.GAUGE, "burdock_queue_length", "Requests waiting", "queue"),

	/** Attached runners by queue and state. */
	RUNNERS(MetricType.GAUGE, "burdock_runners", "Runners attached by queue and state", "queue", "state"),

	/** Free slots of the attached runners. */
	FREE_SLOTS(MetricType.GAUGE, "burdock_free_slots", "Free slots of attached runners", "queue"),

	/** Tokens by team and kind: owned, leased or in use. */
	TOKENS(MetricType.GAUGE, "burdock_tokens", "Tokens by team and kind", "team", "kind"),

	/** Refusals by error code. */
	REFUSALS(MetricType.COUNTER, "burdock_refusals", "Refused requests by code", "code"),

	/** Responses that arrived after their attempt had ended and were dropped. */
	LATE_ANSWERS(MetricType.COUNTER, "burdock_late_answers", "Answers dropped because their attempt was over"),

	/** Index of the configuration in force. */
	CONFIGURATION_INDEX(MetricType.GAUGE, "burdock_configuration_index", "Log index of the configuration in force"),

	/** Whether a majority of the control group is reachable. */
	MAJORITY_REACHABLE(MetricType.GAUGE, "burdock_majority_reachable", "1 if a control majority is in reach"),

	/** Workers that have announced themselves. */
	WORKERS(MetricType.GAUGE, "burdock_workers", "Workers that announce themselves"),

	/** The term of a control member. */
	TERM(MetricType.GAUGE, "burdock_term", "Current term"),

	/** Whether this control member is the leader. */
	LEADER(MetricType.GAUGE, "burdock_leader", "1 if this member leads"),

	/** Losses of voters that the control group still bears, as seen by its leader. */
	BEARABLE_LOSSES(MetricType.GAUGE, "burdock_bearable_losses",
			"Voters of the control group that may be lost before it stops"),

	/** Newest committed index. */
	COMMIT_INDEX(MetricType.GAUGE, "burdock_commit_index", "Newest committed log index"),

	/** Newest applied index. */
	APPLIED_INDEX(MetricType.GAUGE, "burdock_applied_index", "Newest applied log index"),

	/** Duration of a disk sync. */
	SYNC_DURATION(MetricType.HISTOGRAM, "burdock_sync_duration_seconds", "Time of a disk sync"),

	/** Elections that this member has won. */
	ELECTIONS(MetricType.COUNTER, "burdock_elections_won", "Elections won by this member"),

	/** Jobs by state. */
	JOBS(MetricType.GAUGE, "burdock_jobs", "Jobs by state", "state"),

	/** Hosts by pool and state. */
	HOSTS(MetricType.GAUGE, "burdock_hosts", "Hosts by pool and state", "pool", "state"),

	/** Jobs moved to another worker. */
	JOB_MOVES(MetricType.COUNTER, "burdock_job_moves", "Jobs moved to another worker"),

	/** Processor capacity without a job on occupied hosts. */
	BUFFER(MetricType.GAUGE, "burdock_buffer_cores", "Processor cores without a job on occupied hosts", "pool"),

	/** Time since the start of each campaign, until its end. */
	ROLLOUT(MetricType.GAUGE, "burdock_rollout_seconds", "Time since the start of a campaign, until its end",
			"campaign"),

	/** Relative distance of teams from their shares. */
	SHARE_DISTANCE(MetricType.GAUGE, "burdock_share_distance_ratio",
			"Distance of a team from its share as a fraction of the share", "team"),

	/** Heap in use. */
	HEAP_USED(MetricType.GAUGE, "process_heap_used_bytes", "Heap in use"),

	/** Start of the process. */
	START_TIME(MetricType.GAUGE, "process_start_time_seconds", "Start of the process since the epoch");

	private final MetricType type;

	private final String metricName;

	private final String help;

	private final String[] labelNames;

	Metric(MetricType type, String metricName, String help, String... labelNames) {
		this.type = type;
		this.metricName = metricName;
		this.help = help;
		this.labelNames = labelNames;
	}

	/**
	 * Returns the type.
	 * @return the type
	 */
	public MetricType type() {
		return this.type;
	}

	/**
	 * Returns the name without the suffix that the exposition adds.
	 * @return the name
	 */
	public String metricName() {
		return this.metricName;
	}

	/**
	 * Returns the help text.
	 * @return the text
	 */
	public String help() {
		return this.help;
	}

	/**
	 * Returns the names of the labels.
	 * @return the names
	 */
	public String[] labelNames() {
		return this.labelNames.clone();
	}

}
