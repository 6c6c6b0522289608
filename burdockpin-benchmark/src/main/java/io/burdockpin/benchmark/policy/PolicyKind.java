package io.burdockpin.benchmark.policy;

/** The policies that the benchmark compares. */
public enum PolicyKind {

	/** The planners of burdockpin with the preference of the firm. */
	PLANNERS("planners") {
		@Override
		public Policy create(Firm firm) {
			return new PlannerPolicy(firm.preference());
		}

		@Override
		int maximumConcurrentHosts(int usual) {
			return usual;
		}
	},

	/** First fit by declared size; maintenance takes one host at a time. */
	FIRST_FIT("first fit, one host at a time") {
		@Override
		public Policy create(Firm firm) {
			return new BaselinePolicy(BaselinePolicy.FitRule.FIRST);
		}

		@Override
		int maximumConcurrentHosts(int usual) {
			return 1;
		}
	},

	/** Best fit by declared size without usage correction. */
	BEST_FIT("best fit, no usage correction") {
		@Override
		public Policy create(Firm firm) {
			return new BaselinePolicy(BaselinePolicy.FitRule.BEST);
		}

		@Override
		int maximumConcurrentHosts(int usual) {
			return usual;
		}
	};

	private final String label;

	PolicyKind(String label) {
		this.label = label;
	}

	/**
	 * Creates a policy for one run.
	 * @param firm the firm
	 * @return the policy
	 */
	public abstract Policy create(Firm firm);

	abstract int maximumConcurrentHosts(int usual);

	/**
	 * Returns the name in tables.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
