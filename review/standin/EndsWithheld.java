import java.util.ArrayList;
import java.util.List;

/**
 * A worker is cut off for 8 s and runs on. Some of its tasks end meanwhile, and are
 * started again elsewhere when its lease is over. Once it is back, it gets work as
 * before; what ends there has to be taken note of, and its jobs have to be completed.
 */
final class EndsWithheld {

	private static final int RUNNERS = 9;

	private static final double CUT_SECONDS = 8.0;

	private static final int WIDTH = 16;

	private static final String PREFIX = "/ends/";

	public static void main(String[] args) {
		Lab.main(args[0], EndsWithheld::run);
	}

	static boolean run(Lab lab) throws Exception {
		lab.startSystem(3, 2);
		lab.configure(Lab.configuration(1, List.of(Lab.route("r-ends", PREFIX, "svc", 4)), List.of(Lab.service("svc"))));
		for (int i = 1; i <= RUNNERS; i++) {
			new RunnerStandIn(lab, "svc", "i-" + i, "m-" + i, lab.net + "3." + i, "r1-" + (1 + i / 4));
		}
		lab.awaitReady(40);
		Lab.sleep(4);
		String first = lab.id();
		lab.submit(PREFIX, first, Lab.map("specification", "ms=4500", "steps",
				List.of(Lab.map("count", 8, "cpu", 1000, "memMb", 100, "estimatedMs", 4500),
						Lab.map("count", 1, "cpu", 1000, "memMb", 100, "estimatedMs", 4500, "after", List.of(0)))));
		double limit = lab.now() + 10;
		while (lab.now() < limit && lab.runners.values().stream().mapToInt((runner) -> runner.running.size()).sum() < 8) {
			Lab.sleep(0.05);
		}
		Lab.sleep(0.5);
		RunnerStandIn victim = lab.runners.values().stream().max((left, right) -> left.running.size() - right.running.size()).get();
		// The cut begins in the second half of a hold (about one second), as it does half of
		// the time. In the first half the leader may renew the lease once more, in vain, and
		// then waits for its end beyond the 8 s of the cut.
		double patience = lab.now() + 3;
		while (lab.now() < patience && !(lab.now() - victim.heldSince > 0.6)) {
			Lab.sleep(0.01);
		}
		if (Lab.TROUBLE) {
			victim.cut(true);
		}
		Lab.sleep(CUT_SECONDS);
		if (Lab.TROUBLE) {
			victim.cut(false);
		}
		double calmFrom = lab.now();
		awaitState(lab, first, 20);
		lab.log("job %s: %s", first, lab.state(PREFIX, first));
		Lab.sleep(Math.max(0, calmFrom + 7 - lab.now()));
		// Small jobs, one after the other.
		List<String> open = new ArrayList<>();
		int jobs = 0;
		while (lab.now() < calmFrom + 45 && jobs < 45 && open.isEmpty()) {
			String id = lab.id();
			lab.submit(PREFIX, id, Lab.map("specification", "ms=150", "steps",
					List.of(Lab.map("count", WIDTH, "cpu", 1000, "memMb", 100, "estimatedMs", 150))));
			jobs++;
			if (!awaitState(lab, id, 25)) {
				open.add(id);
			}
		}
		Lab.sleep(5);
		int listed = lab.runners.values().stream().mapToInt(RunnerStandIn::endsListed).sum();
		int unnoted = lab.runners.values().stream().mapToInt((runner) -> runner.endsNotNoted(4)).sum();
		lab.log("%d jobs in the calm; %d ends listed by all runners, %d of them not taken note of 4 s later (%.0f%%); ackCursor of %s: %d",
				jobs, listed, unnoted, 100.0 * unnoted / listed, victim.id, victim.cursor);
		int starts = 0;
		for (String id : open) {
			for (int index = 0; index < WIDTH; index++) {
				RunnerStandIn.Seen seen = RunnerStandIn.SEEN.get(id + ".0.0." + index);
				lab.log("task %s.0.0.%d: %s", id, index, (seen == null) ? "never started" : seen.starts + " starts, " + seen.done + " done");
				starts += (seen == null) ? 0 : seen.starts;
			}
			lab.log("job %s was accepted and is %s after 25 s; its %d tasks of 0.15 s were started %d times", id,
					lab.state(PREFIX, id), WIDTH, starts);
		}
		return 5 * unnoted <= listed;
	}

	private static boolean awaitState(Lab lab, String id, double seconds) {
		double end = lab.now() + seconds;
		while (lab.now() < end) {
			if (lab.state(PREFIX, id).equals("completed")) {
				return true;
			}
			Lab.sleep(0.05);
		}
		return false;
	}

}
