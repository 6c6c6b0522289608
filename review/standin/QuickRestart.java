import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runners crash and are started again at once, under the id and on the machine that they
 * had, while small jobs come. Each accepted job has to run in the end.
 */
final class QuickRestart {

	private static final int RUNNERS = 8;

	private static final String PREFIX = "/quick/";

	public static void main(String[] args) {
		Lab.main(args[0], QuickRestart::run);
	}

	static boolean run(Lab lab) throws Exception {
		lab.startSystem(3, 2);
		lab.configure(Lab.configuration(1, List.of(Lab.route("r-quick", PREFIX, "svc", 4)), List.of(Lab.service("svc"))));
		for (int i = 1; i <= RUNNERS; i++) {
			new RunnerStandIn(lab, "svc", "i-" + i, "m-" + i, lab.net + "3." + i, "r1-" + (1 + i / 4));
		}
		lab.awaitReady(40);
		Lab.sleep(4);
		Map<String, Double> accepted = new LinkedHashMap<>();
		double begin = lab.now();
		List<Thread> clients = new ArrayList<>();
		double length = 62;
		// Seconds between two jobs, and from the end of a runner to its next start.
		double gap = 0.05;
		double down = 0.03;
		for (int i = 0; i < 4; i++) {
			java.util.Random random = new java.util.Random(i);
			clients.add(Lab.Server.thread(() -> {
				while (lab.now() < begin + length) {
					String id = String.format("%016x", random.nextLong());
					if (lab.submit(PREFIX, id, Lab.map("specification", "ms=400", "steps",
							List.of(Lab.map("count", 1, "cpu", 1000, "memMb", 100, "estimatedMs", 400))))) {
						synchronized (accepted) {
							accepted.put(id, lab.now());
						}
					}
					Lab.sleep(-4 * gap * Math.log(1 - random.nextDouble()));
				}
			}));
		}
		int restarts = 0;
		while (lab.now() < begin + length - 2) {
			Lab.sleep(0.75);
			RunnerStandIn busiest = lab.runners.values().stream().max((left, right) -> left.running.size() - right.running.size()).get();
			if (Lab.TROUBLE) {
				busiest.crash();
				Lab.sleep(down);
				new RunnerStandIn(lab, "svc", busiest.id, busiest.machine, busiest.host, busiest.labels.get(1));
				lab.log("runner %s: started again under its id", busiest.id);
				restarts++;
			}
		}
		for (Thread client : clients) {
			client.join();
		}
		int twice = RunnerStandIn.TWICE.get();
		lab.log("%d jobs accepted, %d crashes; no disruption from now on", accepted.size(), restarts);
		lab.log("%d times a task was started while it ran on another runner that was up", twice);
		// finish_s after the end of the traffic the jobs are asked for.
		Lab.sleep(14);
		List<String> open = new ArrayList<>(accepted.keySet());
		open.removeIf((id) -> RunnerStandIn.SEEN.containsKey(id + ".0.0.0") && RunnerStandIn.SEEN.get(id + ".0.0.0").done > 0);
		double from = lab.now();
		int busy = 0;
		while (lab.now() < from + 4) {
			open.removeIf((id) -> lab.runners.values().stream().anyMatch((runner) -> runner.runs(id + ".0.0.0")));
			busy = Math.max(busy, lab.runners.values().stream().mapToInt((runner) -> runner.running.size()).sum());
			Lab.sleep(0.02);
		}
		for (String id : open) {
			RunnerStandIn.Seen seen = RunnerStandIn.SEEN.get(id + ".0.0.0");
			lab.log("job %s, accepted at %.3f, is %s; its only task: %s", id, accepted.get(id), lab.state(PREFIX, id),
					(seen == null) ? "never started" : seen.starts + " starts, the last at " + seen.lastStart + ", none done");
		}
		lab.log("%d of %d accepted jobs have nothing running for 4 s, %d of %d cores are in use", open.size(),
				accepted.size(), busy, 16 * lab.runners.size());
		return open.isEmpty();
	}

}
