package io.burdockpin.core.batch.lead.place;

/** Limit that keeps a task waiting beside free capacity. */
public enum PlacementLimit {

	/** The workspace would exceed its upper limit. */
	WORKSPACE_LIMIT("its workspace has reached its limit"),

	/** Long-running tasks would exceed their share of the pool. */
	LONG_RUNNING_SHARE("long-running tasks have reached their share of the pool");

	private final String text;

	PlacementLimit(String text) {
		this.text = text;
	}

	/**
	 * Describes the limit for operators.
	 * @return a sentence without its end
	 */
	public String text() {
		return this.text;
	}

}
