package io.burdockpin.batch;

/** Names of the dispatchers in {@code reference.conf}. */
public final class BatchDispatchers {

	/** Runs the replicated log and the links between its members. */
	public static final String CONSENSUS = "burdockpin.consensus-dispatcher";

	/** Runs the calls between processes and the scheduler. */
	public static final String CALLS = "burdockpin.call-dispatcher";

	private BatchDispatchers() {
	}

}
