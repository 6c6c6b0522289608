package io.burdockpin.core.routing;

/**
 * A runner that may take a request.
 *
 * @param runner the runner
 * @param freeSlots how many more attempts it may take, at least 1
 * @param serviceMillis its recent service time
 */
public record RunnerLoad(Runner runner, int freeSlots, long serviceMillis) {

}
