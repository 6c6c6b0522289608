package io.burdockpin.runtime.log;

import java.util.Arrays;

/** Components with their log prefix. The package of a logger determines its component. */
public enum LogComponent {

	/** The replicated log and state machine. */
	REPLICA("io.burdockpin.control.replica", "[replica]"),

	/** The planners of the control program. */
	PLANNER("io.burdockpin.control.planner", "[planner]"),

	/** Other packages of the control program. */
	CONTROL("io.burdockpin.control", "[control]"),

	/** The request path of the entry program. */
	ROUTER("io.burdockpin.entry.router", "[router]"),

	/** The configuration feed of the entry program. */
	FEED("io.burdockpin.entry.control", "[feed]"),

	/** Links between entry hosts. */
	PEER("io.burdockpin.entry.peer", "[peer]"),

	/** Other packages of the entry program. */
	ENTRY("io.burdockpin.entry", "[entry]"),

	/** The replicated log of the batch scheduler. */
	CONSENSUS("io.burdockpin.batch.consensus", "[consensus]"),

	/** The state machine and the leader of the batch scheduler. */
	SCHEDULER("io.burdockpin.batch.scheduler", "[scheduler]"),

	/** Forwarding of calls to the leader. */
	CALL("io.burdockpin.batch.call", "[call]"),

	/** Other packages of the batch scheduler. */
	BATCH("io.burdockpin.batch", "[batch]"),

	/** The adapter to the users' platform. */
	PLATFORM("io.burdockpin.platform", "[platform]"),

	/** Links between processes. */
	LINK("io.burdockpin.runtime.link", "[link]"),

	/** Certificates and keys. */
	TLS("io.burdockpin.runtime.tls", "[tls]"),

	/** Other packages of the shared runtime. */
	RUNTIME("io.burdockpin.runtime", "[runtime]"),

	/** Test runners, workers, proxies and load generators. */
	TESTBENCH("io.burdockpin.testbench", "[testbench]"),

	/** Third-party libraries and all other loggers. */
	LIBRARY("", "[library]");

	private final String packagePrefix;

	private final String prefix;

	LogComponent(String packagePrefix, String prefix) {
		this.packagePrefix = packagePrefix;
		this.prefix = prefix;
	}

	/**
	 * Finds the component that a logger belongs to.
	 * @param loggerName the logger, usually a class name
	 * @return the first component whose package contains the logger
	 */
	public static LogComponent ofLogger(String loggerName) {
		String name = (loggerName != null) ? loggerName : "";
		return Arrays.stream(values())
			.filter((component) -> name.startsWith(component.packagePrefix))
			.findFirst()
			.orElse(LIBRARY);
	}

	/**
	 * Returns the prefix of log lines.
	 * @return the prefix in square brackets
	 */
	public String prefix() {
		return this.prefix;
	}

}
