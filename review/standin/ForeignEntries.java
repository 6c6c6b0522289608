import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Another writer sends an entry each 1.5 s, with a new id, a service that no
 * configuration has and an address that can't be read. Runners that start afterwards
 * have to be used all the same.
 */
final class ForeignEntries {

	private static final int ENTRIES = 8;

	private static final String FIRST = "/first/";

	private static final String SECOND = "/second/";

	public static void main(String[] args) {
		Lab.main(args[0], ForeignEntries::run);
	}

	static boolean run(Lab lab) throws Exception {
		lab.startSystem(3, 2);
		lab.configure(Lab.configuration(1,
				List.of(Lab.route("r-first", FIRST, "svc-a", 4), Lab.route("r-second", SECOND, "svc-b", 4)),
				List.of(Lab.service("svc-a"), Lab.service("svc-b"))));
		for (int i = 1; i <= 4; i++) {
			new RunnerStandIn(lab, "svc-a", "i-a" + i, "m-a" + i, lab.net + "3." + i, "r1-1");
		}
		lab.awaitReady(40);
		Lab.sleep(4);
		String before = submit(lab, FIRST);
		awaitCompleted(lab, FIRST, before, 10);
		if (Lab.TROUBLE) {
			// An address without its port.
			String address = lab.net + "3.99";
			for (int i = 1; i <= ENTRIES; i++) {
				Object entry = Lab.map("service", "another-service", "address", address, "zone", "zone-1", "version", "v1",
						"slots", 8, "state", "ready", "coldRemainingMs", 0, "capacity",
						Lab.map("cpu", 16000, "memMb", 32768, "gpu", 0), "labels", List.of("a", "r1-9"), "clockMs", 1000,
						"sequence", 1);
				String host = lab.cores.get(i % lab.cores.size());
				int status = Lab.request(host, 8345, "PUT", "/api/instances/x-" + i, Map.of(), entry, 1000).status();
				lab.log("another writer: PUT /api/instances/x-%d to %s, service another-service, address %s -> %d",
						i, host, address, status);
				Lab.sleep(1.5);
			}
		}
		Lab.sleep(3);
		List<RunnerStandIn> late = new ArrayList<>();
		for (int i = 1; i <= 4; i++) {
			late.add(new RunnerStandIn(lab, "svc-b", "i-b" + i, "m-b" + i, lab.net + "3." + (10 + i), "r1-2"));
			lab.log("runner i-b%d of svc-b starts", i);
		}
		Lab.sleep(5);
		String first = submit(lab, FIRST);
		String second = submit(lab, SECOND);
		boolean firstDone = awaitCompleted(lab, FIRST, first, 20);
		boolean secondDone = awaitCompleted(lab, SECOND, second, 30);
		lab.log("job %s of the old runners: %s", first, lab.state(FIRST, first));
		lab.log("job %s of the new runners: %s, its task %s", second, lab.state(SECOND, second),
				RunnerStandIn.SEEN.containsKey(second + ".0.0.0") ? "was started" : "was never started");
		return secondDone && firstDone;
	}

	private static String submit(Lab lab, String prefix) {
		String id = lab.id();
		if (!lab.submit(prefix, id, Lab.map("specification", "ms=200", "steps",
				List.of(Lab.map("count", 1, "cpu", 1000, "memMb", 100, "estimatedMs", 200))))) {
			throw new Lab.CannotRun("a job was not accepted");
		}
		return id;
	}

	private static boolean awaitCompleted(Lab lab, String prefix, String id, double seconds) {
		double end = lab.now() + seconds;
		while (lab.now() < end) {
			if (lab.state(prefix, id).equals("completed")) {
				return true;
			}
			Lab.sleep(0.2);
		}
		return false;
	}

}
