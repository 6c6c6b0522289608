package io.burdockpin.core.routing;

/** State of an attached runner, which determines whether it gets new work. */
public enum RunnerState {

	/** The runner gets new work. */
	IN_SERVICE,

	/** The runner has announced that it accepts no new work. */
	LEAVING,

	/** The runner failed or was slow, and gets trial requests only. */
	SET_ASIDE

}
