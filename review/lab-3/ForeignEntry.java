import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Another writer enters a record with missing fields for the machine of a sound runner. The record names no
 * runner to use, and the tasks of the sound runner must not be started a second time.
 */
final class ForeignEntry {

	private static final int WORK_MILLIS = 4_000;

	private ForeignEntry() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of("").toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		List<Runner> runners = new ArrayList<>();
		try (Fleet.Record record = new Fleet.Record(Path.of(arguments[0], "record.txt"));
				Fleet fleet = new Fleet(root, record, 3, 2)) {
			fleet.start();
			for (int number = 1; number <= 4; number++) {
				runners.add(new Runner(fleet, "i-%08d".formatted(number), fleet.address(100 + number),
						"zone-" + (1 + number % 3)));
			}
			status = play(fleet, record, trouble, runners);
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

	private static int play(Fleet fleet, Fleet.Record record, boolean trouble, List<Runner> runners) throws Exception {
		if (!Operator.put(fleet, Operator.configuration(1, List.of()), System.nanoTime() + 25_000_000_000L)) {
			record.line("no configuration was acknowledged");
			return 2;
		}
		if (!fleet.entries.get(0).awaitReady(20_000)) {
			record.line("%s is not ready", fleet.entries.get(0).name);
			return 2;
		}
		Thread.sleep(5_000);
		String job = "{\"specification\":\"ms=%d\",\"steps\":[{\"count\":6,\"cpu\":5000,\"memMb\":1300,\"estimatedMs\":%d}]}"
			.formatted(WORK_MILLIS, WORK_MILLIS);
		String path = "/checks/00000000000000a1";
		if (!Operator.clientWithRetries(fleet, "POST", path, job).isSuccess()) {
			record.line("the job was not accepted");
			return 2;
		}
		Thread.sleep(1_200);
		Runner busy = runners.stream().filter((runner) -> !runner.starts().isEmpty()).findFirst().orElse(null);
		if (busy == null) {
			record.line("no task was started");
			return 2;
		}
		if (trouble) {
			enter(fleet, record, busy);
		}
		Thread.sleep(12_000);
		record.line("state of the job: %s", Operator.clientWithRetries(fleet, "GET", path, null));
		long overlaps = countOverlaps(record, runners);
		record.line("%d tasks ran twice at the same time, on runners that were up all the while", overlaps);
		return (overlaps > 0) ? 1 : 0;
	}

	// Without version, slots, coldRemainingMs, labels and clockMs; nothing listens at the address.
	private static void enter(Fleet fleet, Fleet.Record record, Runner busy) {
		String body = """
				{"service":"panel","address":"%s:%d","zone":"zone-1","state":"ready",\
				"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"machine":"%s","born":%d,"sequence":1}"""
			.formatted(fleet.address(199), Fleet.RUNNER_PORT, busy.machine(), System.currentTimeMillis());
		for (String address : fleet.controlAddresses()) {
			Fleet.Reply reply = Fleet.call(address, "PUT", "/api/instances/agent-1", Map.of(), body, 1_000);
			record.line("another writer: PUT /api/instances/agent-1 at %s with %s: %s", address, body, reply);
			if (reply.status() != 0 && reply.status() < 500) {
				return;
			}
		}
	}

	private static long countOverlaps(Fleet.Record record, List<Runner> runners) {
		long overlaps = 0;
		for (Runner first : runners) {
			for (Runner.Start start : first.starts()) {
				for (Runner second : runners) {
					for (Runner.Start later : second.starts()) {
						boolean isOther = later.task().equals(start.task()) && later.run() > start.run();
						long overlapNanos = first.endNanos(start).orElse(System.nanoTime()) - later.atNanos();
						if (isOther && overlapNanos > 0) {
							overlaps++;
							record.line("%s: run %d on %s and run %d on %s ran together for %.3f s", start.task(),
									start.run(), first.id(), later.run(), second.id(), overlapNanos / 1e9);
						}
					}
				}
			}
		}
		return overlaps;
	}

}
