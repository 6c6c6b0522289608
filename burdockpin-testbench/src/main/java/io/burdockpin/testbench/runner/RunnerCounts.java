package io.burdockpin.testbench.runner;

/**
 * What a stand-in runner has seen since its start.
 *
 * @param started requests started
 * @param ended requests that ran to their end
 * @param refused requests refused before their start
 * @param running requests running now
 * @param connections connections open now
 * @param slotViolations requests that came while all slots were in use
 * @param connectionViolations connections that came while all allowed ones were open
 * @param doubleRuns starts of a request identifier that had started before
 * @param startedWhileLeaving requests that came after a leaving announcement had been
 * answered
 */
public record RunnerCounts(long started, long ended, long refused, int running, int connections, long slotViolations,
		long connectionViolations, long doubleRuns, long startedWhileLeaving) {

}
