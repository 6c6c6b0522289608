import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A change of the configuration removes the route of running jobs, and their clients cancel them. The jobs
 * must end.
 */
final class RemovedRoute {

	/** bounds.acknowledgeMs. */
	private static final long ACKNOWLEDGE_MILLIS = 4_000;

	/** bounds.cancel_ms. */
	private static final long CANCEL_MILLIS = 3_000;

	/** bounds.stopTimeoutMs. */
	private static final long STOP_MILLIS = 900;

	private RemovedRoute() {
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
		List<String> jobs = List.of("00000000000000b1", "00000000000000b2", "00000000000000b3", "00000000000000b4");
		String lasting = "{\"specification\":\"ms=0\",\"steps\":[{\"count\":1,\"cpu\":1300,\"memMb\":3400,"
				+ "\"estimatedMs\":900,\"longRunning\":true}]}";
		String twoSteps = "{\"specification\":\"ms=18000\",\"steps\":[{\"count\":1,\"cpu\":1300,\"memMb\":1300,"
				+ "\"estimatedMs\":18000},{\"count\":1,\"cpu\":1300,\"memMb\":1300,\"estimatedMs\":18000,\"after\":[0]}]}";
		for (String job : jobs) {
			String body = job.equals(jobs.get(3)) ? twoSteps : lasting;
			if (!Operator.clientWithRetries(fleet, "POST", "/archive/" + job, body).isSuccess()) {
				record.line("a job was not accepted");
				return 2;
			}
		}
		Thread.sleep(3_000);
		String changed = trouble ? Operator.configurationWithoutArchive(2) : Operator.configuration(2, List.of());
		if (!Operator.put(fleet, changed, System.nanoTime() + 5_000_000_000L)) {
			return 2;
		}
		Thread.sleep(3_000);
		Map<String, Long> cancelledNanos = new LinkedHashMap<>();
		for (String job : jobs) {
			cancelledNanos.put(job, cancel(fleet, record, job));
		}
		Thread.sleep(14_000);
		long broken = 0;
		for (Map.Entry<String, Long> entry : cancelledNanos.entrySet()) {
			broken += countLate(record, runners, entry.getKey(), entry.getValue());
		}
		record.line("%d tasks were started or ran on after the cancelling of their jobs", broken);
		return (broken > 0) ? 1 : 0;
	}

	// Returns when the cancelling was acknowledged, or counts as acknowledged because it has waited.
	private static long cancel(Fleet fleet, Fleet.Record record, String job) throws InterruptedException {
		long sentNanos = System.nanoTime();
		for (int attempt = 0; attempt < 3; attempt++) {
			Fleet.Machine entry = fleet.entries.get(attempt % fleet.entries.size());
			Fleet.Reply reply = Operator.client(entry, "DELETE", "/archive/" + job, null);
			record.line("DELETE /archive/%s at %s: %s", job, entry.name, reply);
			if (reply.isSuccess() || reply.status() == 410) {
				return System.nanoTime();
			}
			Thread.sleep(300);
		}
		return sentNanos + ACKNOWLEDGE_MILLIS * 1_000_000;
	}

	private static long countLate(Fleet.Record record, List<Runner> runners, String job, long cancelledNanos) {
		long startsUntil = cancelledNanos + CANCEL_MILLIS * 1_000_000;
		long runsUntil = startsUntil + STOP_MILLIS * 1_000_000;
		long late = 0;
		for (Runner runner : runners) {
			for (Runner.Start start : runner.starts()) {
				if (!start.task().startsWith(job + ".")) {
					continue;
				}
				long endNanos = runner.endNanos(start).orElse(System.nanoTime());
				if (start.atNanos() > startsUntil) {
					late++;
					record.line("%s started %.3f s after the cancelling counts as acknowledged", start.task(),
							(start.atNanos() - cancelledNanos) / 1e9);
				}
				else if (endNanos > runsUntil) {
					late++;
					record.line("%s was at work %.3f s after the cancelling counts as acknowledged", start.task(),
							(endNanos - cancelledNanos) / 1e9);
				}
			}
		}
		return late;
	}

}
