package io.burdockpin.core.routing;

/**
 * A runner that can accept a request, and its load.
 *
 * @param runner newest announcement of the runner
 * @param freeSlots number of further attempts that the runner can execute, at least 1
 * @param serviceMillis recent service time of an attempt, 0 if unknown
 */
public record RunnerLoad(Runner runner, int freeSlots, long serviceMillis) {

}
