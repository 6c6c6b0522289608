package io.burdockpin.core.batch.state;

/** Where a move of a host to another pool stands. */
public enum MovePhase {

	/** The move is being ordered; the host takes no new tasks. */
	ORDERED,

	/** The platform has begun the move. */
	BEGUN,

	/** The host has arrived, or was not moved. */
	OVER

}
