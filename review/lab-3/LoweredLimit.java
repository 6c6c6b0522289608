import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A runner is cut off while a task is being started on it, and the upper limit of the tenant is lowered
 * meanwhile. No task of the tenant may start above the new limit once that is in force.
 */
final class LoweredLimit {

	/** Below node_cut of quillca-pin.toml, 5.5 s. */
	private static final long CUT_MILLIS = 4_500;

	/** bounds.configApplyMs. */
	private static final long APPLY_MILLIS = 2_000;

	/** bounds.quotaOver. */
	private static final double QUOTA_OVER = 0.1;

	private static final int TASK_MILLICORES = 2_000;

	private static final int LOWERED_MILLICORES = 10_000;

	private LoweredLimit() {
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
		// Three runners are full afterwards, and one is idle.
		if (!submit(fleet, "/checks/00000000000000a1", 24, 30_000)) {
			return 2;
		}
		Thread.sleep(3_000);
		List<Runner> idle = runners.stream().filter((runner) -> runner.starts().isEmpty()).toList();
		if (idle.size() != 1) {
			record.line("%d runners are idle", idle.size());
			return 2;
		}
		if (trouble) {
			record.line("runner %s is cut off from the system", idle.get(0).id());
			idle.get(0).cut().begin();
		}
		long cutNanos = System.nanoTime();
		if (!submit(fleet, "/checks/00000000000000b1", 6, 10_000)) {
			return 2;
		}
		Thread.sleep(500);
		record.line("the upper limit of the tenant goes from 1955719 to %d", LOWERED_MILLICORES);
		if (!Operator.put(fleet, Operator.configuration(2, List.of(), LOWERED_MILLICORES),
				System.nanoTime() + 5_000_000_000L)) {
			return 2;
		}
		long inForceNanos = System.nanoTime() + APPLY_MILLIS * 1_000_000;
		Thread.sleep(Math.max(0, CUT_MILLIS - (System.nanoTime() - cutNanos) / 1_000_000));
		if (trouble) {
			idle.get(0).cut().end();
			record.line("runner %s is connected again", idle.get(0).id());
		}
		Thread.sleep(8_000);
		long broken = startsAboveLimit(record, runners, inForceNanos);
		record.line("%d tasks were started above the limit in force", broken);
		return (broken > 0) ? 1 : 0;
	}

	private static boolean submit(Fleet fleet, String path, int count, int workMillis) throws InterruptedException {
		String job = "{\"specification\":\"ms=%d\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"memMb\":1300,\"estimatedMs\":%d}]}"
			.formatted(workMillis, count, TASK_MILLICORES, workMillis);
		return Operator.clientWithRetries(fleet, "POST", path, job).isSuccess();
	}

	private static long startsAboveLimit(Fleet.Record record, List<Runner> runners, long inForceNanos) {
		double highest = LOWERED_MILLICORES * (1 + QUOTA_OVER) + TASK_MILLICORES;
		return runners.stream()
			.flatMap((runner) -> runner.starts().stream())
			.sorted(Comparator.comparingLong(Runner.Start::atNanos))
			.filter((start) -> start.atNanos() > inForceNanos)
			.filter((start) -> {
				long running = running(runners, start.atNanos());
				boolean isAbove = running * TASK_MILLICORES > highest;
				record.line("%s run %d started %.3f s after the new limit was in force everywhere, with %d tasks of %d"
						+ " running: %s", start.task(), start.run(), (start.atNanos() - inForceNanos) / 1e9, running,
						TASK_MILLICORES, isAbove ? "above the limit" : "allowed");
				return isAbove;
			})
			.count();
	}

	private static long running(List<Runner> runners, long atNanos) {
		return runners.stream()
			.mapToLong((runner) -> runner.starts()
				.stream()
				.filter((start) -> start.atNanos() <= atNanos
						&& runner.endNanos(start).orElse(Long.MAX_VALUE) > atNanos)
				.count())
			.sum();
	}

}
