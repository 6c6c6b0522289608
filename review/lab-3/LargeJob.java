import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One job of a few kilobytes that can never be done; the control processes must go on. */
final class LargeJob {

	private static final int STEPS = 400;

	private static final int TASKS = 10_000;

	private static final int OWN_ENDS_OF_A_FAULT = 3;

	private LargeJob() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of("").toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		List<Runner> runners = new ArrayList<>();
		try (Fleet.Record record = new Fleet.Record(Path.of(arguments[0], "record.txt"));
				Fleet fleet = new Fleet(root, record, 3, 2)) {
			fleet.start();
			for (int number = 1; number <= 3; number++) {
				runners.add(new Runner(fleet, "i-%08d".formatted(number), fleet.address(100 + number),
						"zone-" + number));
			}
			status = play(fleet, record, trouble);
			if (status == 2) {
				fleet.keepFiles();
			}
			record.line("exit %d", status);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		runners.forEach(Runner::close);
		System.exit(status);
	}

	private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
		if (!Operator.put(fleet, Operator.configuration(1, List.of()), System.nanoTime() + 25_000_000_000L)) {
			record.line("no configuration was acknowledged");
			return 2;
		}
		Thread.sleep(4_000);
		String ordinary = "{\"specification\":\"ms=800\",\"steps\":[{\"count\":4,\"cpu\":880,\"memMb\":1300,"
				+ "\"estimatedMs\":800}]}";
		String lasting = "{\"specification\":\"ms=0\",\"steps\":[{\"count\":2,\"cpu\":1300,\"memMb\":3400,"
				+ "\"estimatedMs\":900,\"longRunning\":true}]}";
		boolean accepted = Operator.clientWithRetries(fleet, "POST", "/checks/00000000000000a1", ordinary).isSuccess()
				&& Operator.clientWithRetries(fleet, "POST", "/archive/00000000000000b1", lasting).isSuccess();
		Thread.sleep(4_000);
		Fleet.Reply first = Operator.clientWithRetries(fleet, "GET", "/checks/00000000000000a1", null);
		if (!accepted || !first.body().contains("completed")) {
			record.line("the ordinary job was not completed before the disruption");
			return 2;
		}
		if (trouble) {
			Operator.clientWithRetries(fleet, "POST", "/checks/00000000000000c1", largeJob());
		}
		Thread.sleep(35_000);
		boolean isKnown = false;
		boolean isServed = false;
		for (int round = 0; round < 4 && !(isKnown && isServed); round++) {
			isKnown |= Operator.clientWithRetries(fleet, "GET", "/archive/00000000000000b1", null)
				.body()
				.contains("running");
			isServed |= Operator
				.clientWithRetries(fleet, "POST", "/checks/00000000000000d" + round, ordinary)
				.isSuccess();
		}
		long faulty = fleet.cores.stream().filter((core) -> core.ownEnds >= OWN_ENDS_OF_A_FAULT).count();
		record.line("accepted job is known: %s; a new job is accepted: %s", isKnown, isServed);
		fleet.cores.forEach((core) -> record.line("%s ended by itself %d times", core.name, core.ownEnds));
		return (2 * faulty >= fleet.cores.size() || !isKnown) ? 1 : 0;
	}

	private static String largeJob() {
		List<String> steps = new ArrayList<>();
		for (int step = 0; step < STEPS; step++) {
			steps.add("{\"count\":%d,\"cpu\":64000}".formatted(TASKS));
		}
		return "{\"specification\":\"ms=800\",\"steps\":[%s]}".formatted(String.join(",", steps));
	}

}
