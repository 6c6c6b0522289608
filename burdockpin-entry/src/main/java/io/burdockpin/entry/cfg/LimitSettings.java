package io.burdockpin.entry.cfg;

import io.burdockpin.core.util.Checks;

/**
 * Size, time and queue limits of requests. Missing values get their defaults.
 *
 * @param bodyBytes maximum size of a request body, default 1 MiB
 * @param answerBytes maximum size of an answer body, default 1 MiB
 * @param timeoutMillis maximum timeout that a caller may request, default 60 s
 * @param defaultTimeoutMillis timeout of requests that specify none, default 30 s or
 * {@code timeoutMillis} if that is less
 * @param queueLength maximum number of waiting requests per queue, default 1000
 * @param keptAnswerBytes maximum size of an answer that is stored with its claim, default
 * 4 KiB
 */
public record LimitSettings(Integer bodyBytes, Integer answerBytes, Integer timeoutMillis, Integer defaultTimeoutMillis,
		Integer queueLength, Integer keptAnswerBytes) {

	/** A forwarded body must fit into a link frame of 4 MiB. */
	private static final int MAX_BODY_BYTES = 3 * 1024 * 1024;

	private static final int MEBIBYTE = 1024 * 1024;

	private static final int MAX_TIMEOUT_MILLIS = 60_000;

	public LimitSettings {
		bodyBytes = checkedOrDefault("bodyBytes", bodyBytes, MEBIBYTE, MAX_BODY_BYTES);
		answerBytes = checkedOrDefault("answerBytes", answerBytes, MEBIBYTE, MAX_BODY_BYTES);
		timeoutMillis = checkedOrDefault("timeoutMillis", timeoutMillis, MAX_TIMEOUT_MILLIS, MAX_TIMEOUT_MILLIS);
		defaultTimeoutMillis = checkedOrDefault("defaultTimeoutMillis", defaultTimeoutMillis,
				Math.min(timeoutMillis, 30_000), timeoutMillis);
		queueLength = checkedOrDefault("queueLength", queueLength, 1000, 100_000);
		keptAnswerBytes = checkedOrDefault("keptAnswerBytes", keptAnswerBytes, 4096, 64 * 1024);
	}

	/**
	 * Returns the default limits.
	 * @return settings in which every value has its default
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(null, null, null, null, null, null);
	}

	private static int checkedOrDefault(String name, Integer value, int defaultValue, int maximum) {
		return Checks.range(name, (value != null) ? value : defaultValue, 1, maximum);
	}

}
