package io.burdockpin.core.batch.state;

/** Phase of a move of a host to another pool. */
public enum MovePhase {

	/** The order is being sent; the host takes no new tasks. */
	ORDERED,

	/** The platform has started the move. */
	BEGUN,

	/** The host is in its new pool, or the move was abandoned. */
	OVER

}
