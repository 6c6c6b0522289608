import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Lasting jobs fill three quarters of a service, each of them one runner. One runner is
 * lost for good. The tasks that ran there have to be started again: a quarter of the
 * service is free.
 */
final class LastingJob {

	private static final int RUNNERS = 12;

	private static final int JOBS = 9;

	private static final int TASKS = 8;

	private static final String PREFIX = "/lasting/";

	public static void main(String[] args) {
		Lab.main(args[0], LastingJob::run);
	}

	static boolean run(Lab lab) throws Exception {
		lab.startSystem(3, 2);
		lab.configure(Lab.configuration(1, List.of(Lab.route("r-lasting", PREFIX, "svc", 4)), List.of(Lab.service("svc"))));
		for (int i = 1; i <= RUNNERS; i++) {
			new RunnerStandIn(lab, "svc", "i-" + i, "m-" + i, lab.net + "3." + i, "r1-" + (1 + i / 4));
		}
		lab.awaitReady(40);
		Lab.sleep(4);
		List<String> jobs = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			String id = lab.id();
			if (!lab.submit(PREFIX, id, Lab.map("specification", "serve", "steps", List.of(Lab.map("count", TASKS, "cpu",
					2000, "memMb", 500, "estimatedMs", 500, "longRunning", true))))) {
				throw new Lab.CannotRun("a job was not accepted");
			}
			jobs.add(id);
		}
		double begin = lab.now();
		while (lab.now() < begin + 20 && jobs.stream().anyMatch((id) -> atWork(lab, id) < TASKS)) {
			Lab.sleep(0.2);
		}
		jobs.forEach((id) -> lab.log("job %s: %d of %d tasks run, state %s", id, atWork(lab, id), TASKS, lab.state(PREFIX, id)));
		if (jobs.stream().anyMatch((id) -> atWork(lab, id) < TASKS)) {
			throw new Lab.CannotRun("not all jobs run before the disruption");
		}
		Lab.sleep(2);
		RunnerStandIn lost = lab.runners.values().stream().filter((runner) -> runner.running.size() == TASKS).findFirst()
			.orElseThrow(() -> new Lab.CannotRun("no runner holds a whole job"));
		if (Lab.TROUBLE) {
			lost.crash();
			lab.runners.remove(lost.id);
		}
		double lostAt = lab.now();
		// The rule holds from 6 s after the last run, after 4 s of calm, and the lease of
		// a silent runner (10 s at most) may have to end first. 30 s are asked for.
		Lab.sleep(14);
		Map<String, Double> without = new LinkedHashMap<>();
		boolean broken = false;
		while (lab.now() < lostAt + 45) {
			int cores = lab.runners.size() * 16;
			int used = jobs.stream().mapToInt((id) -> 2 * atWork(lab, id)).sum();
			for (String id : jobs) {
				boolean isRoom = cores - used >= 2 * 2 * TASKS;
				if (atWork(lab, id) == 0 && isRoom) {
					without.putIfAbsent(id, lab.now());
				}
				else {
					without.remove(id);
				}
			}
			broken |= without.values().stream().anyMatch((since) -> lab.now() - since > 3);
			Lab.sleep(0.25);
		}
		int used = jobs.stream().mapToInt((id) -> 2 * atWork(lab, id)).sum();
		for (String id : jobs) {
			lab.log("job %s: %d of %d tasks run, state %s%s", id, atWork(lab, id), TASKS, lab.state(PREFIX, id),
					without.containsKey(id) ? "; nothing runs for " + (int) (lab.now() - without.get(id)) + " s" : "");
		}
		lab.log("%d of %d cores are in use %.0f s after the loss", used, 16 * lab.runners.size(), lab.now() - lostAt);
		return !broken;
	}

	private static int atWork(Lab lab, String id) {
		int count = 0;
		for (int index = 0; index < TASKS; index++) {
			String task = id + ".0.0." + index;
			if (lab.runners.values().stream().anyMatch((runner) -> runner.runs(task))) {
				count++;
			}
		}
		return count;
	}

}
