package io.burdockpin.systemtest.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The faults of a soak, each with the bounds of its length and the mean time between two.
 */
enum SoakFault {

	KILL_MEMBER(50, 3_000, 11_000, onMember(BatchProcess::kill), SoakFault::restartMembers),

	TERMINATE_MEMBER(300, 6_000, 11_000, onMember((member) -> member.signal("TERM")), (deployment, planned) -> {
		planned.choose(deployment.members()).kill();
		restartMembers(deployment, planned);
	}),

	/** Proposals stay open while the leader hands over to a member that stands still. */
	TERMINATE_AMONG_FROZEN(600, 1_000, 9_000, (deployment, planned) -> {
		BatchProcess target = planned.choose(deployment.members());
		deployment.members().forEach((member) -> member.signal((member == target) ? "TERM" : "STOP"));
	}, (deployment, planned) -> deployment.members().forEach((member) -> {
		member.signal("CONT");
		member.ensureRunning();
	})),

	FREEZE_MEMBER(100, 4_500, 4_000, onMember((member) -> member.signal("STOP")),
			onMember((member) -> member.signal("CONT"))),

	RESTART_RUNNER(20, 2_000, 600, onSlot(RunnerSlot::crash), onSlot(RunnerSlot::start)),

	DELAY_ANSWERS(300, 2_500, 2_000, onRunner(StandInRunner::setAnswerDelay),
			onRunner((runner, millis) -> runner.setAnswerDelay(0))),

	HOLD_ORDERS_BACK(300, 5_000, 2_000, onRunner(StandInRunner::setHoldBack),
			onRunner((runner, millis) -> runner.setHoldBack(0))),

	CUT_RUNNER(200, 9_000, 3_000, onRunner((runner, millis) -> runner.setCut(true)),
			onRunner((runner, millis) -> runner.setCut(false)));

	private final long shortestMillis;

	private final long longestMillis;

	private final long meanPeriodMillis;

	private final BiConsumer<BatchDeployment, Planned> strike;

	private final BiConsumer<BatchDeployment, Planned> heal;

	SoakFault(long shortestMillis, long longestMillis, long meanPeriodMillis,
			BiConsumer<BatchDeployment, Planned> strike, BiConsumer<BatchDeployment, Planned> heal) {
		this.shortestMillis = shortestMillis;
		this.longestMillis = longestMillis;
		this.meanPeriodMillis = meanPeriodMillis;
		this.strike = strike;
		this.heal = heal;
	}

	/**
	 * Plans series of faults of all kinds that overlap.
	 * @param random the source of the plan
	 * @param soakMillis when the last fault has healed
	 * @return the faults in the order of their times
	 */
	static List<Planned> plan(RandomGenerator random, long soakMillis) {
		List<Planned> planned = new ArrayList<>();
		for (SoakFault fault : values()) {
			for (long atMillis = random.nextLong(fault.meanPeriodMillis); atMillis < soakMillis;) {
				// Most faults are short; a few last long.
				double share = Math.pow(random.nextDouble(), 3);
				long lengthMillis = fault.shortestMillis
						+ (long) (share * (fault.longestMillis - fault.shortestMillis));
				planned.add(new Planned(fault, atMillis, Math.min(lengthMillis, soakMillis - atMillis),
						random.nextInt(Integer.MAX_VALUE)));
				atMillis += 1 + random.nextLong(2 * fault.meanPeriodMillis);
			}
		}
		planned.sort(Comparator.comparingLong(Planned::atMillis));
		return planned;
	}

	private static void restartMembers(BatchDeployment deployment, Planned planned) {
		deployment.members().forEach(BatchProcess::ensureRunning);
	}

	private static BiConsumer<BatchDeployment, Planned> onMember(Consumer<BatchProcess> action) {
		return (deployment, planned) -> action.accept(planned.choose(deployment.members()));
	}

	private static BiConsumer<BatchDeployment, Planned> onSlot(Consumer<RunnerSlot> action) {
		return (deployment, planned) -> action.accept(planned.choose(deployment.runners()));
	}

	private static BiConsumer<BatchDeployment, Planned> onRunner(BiConsumer<StandInRunner, Long> action) {
		return (deployment, planned) -> planned.choose(deployment.runners())
			.incarnation()
			.ifPresent((running) -> action.accept(running, planned.lengthMillis()));
	}

	/**
	 * A fault at its time.
	 *
	 * @param fault the fault
	 * @param atMillis when it strikes, since the start of the processes
	 * @param lengthMillis how long it lasts
	 * @param target chooses its member or runner
	 */
	record Planned(SoakFault fault, long atMillis, long lengthMillis, int target) {

		void strike(BatchDeployment deployment) {
			this.fault.strike.accept(deployment, this);
		}

		void heal(BatchDeployment deployment) {
			this.fault.heal.accept(deployment, this);
		}

		private <T> T choose(List<T> targets) {
			return targets.get(this.target % targets.size());
		}

	}

}
