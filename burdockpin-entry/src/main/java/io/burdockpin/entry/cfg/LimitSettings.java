package io.burdockpin.entry.cfg;

import io.burdockpin.core.util.Checks;

/**
 * Limits on requests. Missing values get their defaults.
 *
 * @param bodyBytes largest body of a request, default 1 MiB
 * @param answerBytes largest body of an answer, default 1 MiB
 * @param timeoutMillis longest time a caller may ask for, default 60 s
 * @param defaultTimeoutMillis time of a caller that asks for none, default 30 s
 * @param queueLength how many requests may wait in a queue, default 1000
 * @param keptAnswerBytes largest answer kept with a claim, default 4 KiB
 */
public record LimitSettings(Integer bodyBytes, Integer answerBytes, Integer timeoutMillis, Integer defaultTimeoutMillis,
		Integer queueLength, Integer keptAnswerBytes) {

	/** A forwarded body must fit into a frame of 4 MiB. */
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
	 * Returns the defaults.
	 * @return settings without any value given
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(null, null, null, null, null, null);
	}

	private static int checkedOrDefault(String what, Integer value, int defaultValue, int largest) {
		return Checks.range(what, (value != null) ? value : defaultValue, 1, largest);
	}

}
