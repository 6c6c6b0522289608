package io.burdockpin.core.routing;

/** Whether an attached runner gets new work. */
public enum RunnerState {

	/** It gets new work. */
	IN_SERVICE,

	/** It has announced that it takes no new work. */
	LEAVING,

	/** It failed or was slow, and gets trial requests only. */
	SET_ASIDE

}
