import java.util.Map;

/**
 * A process of another writer, on the machine of a runner, announces itself once, with a
 * service that no configuration has. The tasks of the runner may not be started elsewhere
 * while they run on.
 */
final class ForeignMachine {

	private static final int RUNNERS = 6;

	private static final int TASKS = 8;

	private static final String PREFIX = "/tasks/";

	public static void main(String[] args) {
		Lab.main(args[0], ForeignMachine::run);
	}

	static boolean run(Lab lab) throws Exception {
		lab.startSystem(3, 2);
		lab.configure(Lab.configuration(1, java.util.List.of(Lab.route("r-tasks", PREFIX, "svc", 4)),
				java.util.List.of(Lab.service("svc"))));
		for (int i = 1; i <= RUNNERS; i++) {
			new RunnerStandIn(lab, "svc", "i-" + i, "m-" + i, lab.net + "3." + i, "r1-" + (1 + i / 4));
		}
		lab.awaitReady(40);
		Lab.sleep(4);
		String id = lab.id();
		if (!lab.submit(PREFIX, id, Lab.map("specification", "ms=8000", "steps",
				java.util.List.of(Lab.map("count", TASKS, "cpu", 1000, "memMb", 100, "estimatedMs", 8000))))) {
			throw new Lab.CannotRun("the job was not accepted");
		}
		double limit = lab.now() + 10;
		while (lab.now() < limit && lab.runners.values().stream().mapToInt((runner) -> runner.running.size()).sum() < TASKS) {
			Lab.sleep(0.05);
		}
		Lab.sleep(1);
		RunnerStandIn busiest = lab.runners.values().stream().max((left, right) -> left.running.size() - right.running.size()).get();
		if (busiest.running.isEmpty()) {
			throw new Lab.CannotRun("no task runs before the disruption");
		}
		if (Lab.TROUBLE) {
			Object entry = Lab.map("service", "another-service", "machine", busiest.machine, "address",
					lab.net + "3.99:8080", "zone", busiest.zone, "version", "v7", "slots", 1, "state", "ready",
					"coldRemainingMs", 0, "capacity", Lab.map("cpu", 1000, "memMb", 1024, "gpu", 0), "labels",
					busiest.labels, "clockMs", 1000, "born", System.currentTimeMillis(), "sequence", 1);
			String host = lab.cores.get(0);
			int status = Lab.request(host, 8345, "PUT", "/api/instances/x-1", Map.of(), entry, 1000).status();
			lab.log("another writer: PUT /api/instances/x-1 to %s, service another-service, machine %s -> %d", host,
					busiest.machine, status);
		}
		double end = lab.now() + 25;
		while (lab.now() < end && !lab.state(PREFIX, id).equals("completed")) {
			Lab.sleep(0.2);
		}
		int twice = RunnerStandIn.TWICE.get();
		lab.log("job %s is %s", id, lab.state(PREFIX, id));
		lab.log("%d of %d tasks were started while they ran on another runner that was up", twice, TASKS);
		return twice == 0;
	}

}
