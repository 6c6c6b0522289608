import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Many bodies of legal size at once at an entry machine; its process must go on. */
final class LargeBodies {

	/** The limit of the configuration, limits.maxBodyBytes. */
	private static final int BODY_BYTES = 262_144;

	private static final int CLIENTS = 8;

	private static final int ROUNDS = 12;

	private static final long LONGEST_MILLIS = 75_000;

	private static final int OWN_ENDS_OF_A_FAULT = 3;

	private LargeBodies() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of("").toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Fleet.Record record = new Fleet.Record(Path.of(arguments[0], "record.txt"));
				Fleet fleet = new Fleet(root, record, 3, 2)) {
			fleet.start();
			status = play(fleet, record, trouble);
			if (status == 2) {
				fleet.keepFiles();
			}
			record.line("exit %d", status);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
		if (!Operator.put(fleet, Operator.configuration(1, List.of()), System.nanoTime() + 25_000_000_000L)) {
			record.line("no configuration was acknowledged");
			return 2;
		}
		Thread.sleep(3_000);
		String ordinary = "{\"specification\":\"ms=800\",\"steps\":[{\"count\":4,\"cpu\":880,\"memMb\":1300,"
				+ "\"estimatedMs\":800}]}";
		if (!Operator.clientWithRetries(fleet, "POST", "/checks/00000000000000a1", ordinary).isSuccess()) {
			return 2;
		}
		String large = largeBody();
		List<Thread> crowds = new ArrayList<>();
		for (Fleet.Machine entry : fleet.entries) {
			Thread crowd = new Thread(() -> send(entry, record, large, trouble ? CLIENTS : 1));
			crowd.start();
			crowds.add(crowd);
		}
		for (Thread crowd : crowds) {
			crowd.join();
		}
		for (Fleet.Machine entry : fleet.entries) {
			entry.awaitReady(10_000);
		}
		Fleet.Reply known = Operator.clientWithRetries(fleet, "GET", "/checks/00000000000000a1", null);
		record.line("an ordinary call is answered: %s", known);
		fleet.entries.forEach((entry) -> record.line("%s ended by itself %d times", entry.name, entry.ownEnds));
		fleet.cores.forEach((core) -> record.line("%s ended by itself %d times", core.name, core.ownEnds));
		long faulty = fleet.entries.stream().filter((entry) -> entry.ownEnds >= OWN_ENDS_OF_A_FAULT).count();
		return (faulty >= 2) ? 1 : 0;
	}

	/** Lets the clients send at once, again and again while the process is ready. */
	private static void send(Fleet.Machine entry, Fleet.Record record, String body, int clientCount) {
		long until = System.nanoTime() + LONGEST_MILLIS * 1_000_000;
		try {
			for (int round = 0; round < ROUNDS && entry.ownEnds < OWN_ENDS_OF_A_FAULT
					&& System.nanoTime() < until; round++) {
				if (!entry.awaitReady(10_000)) {
					continue;
				}
				List<Thread> clients = new ArrayList<>();
				for (int number = 0; number < clientCount; number++) {
					String path = "/checks/%08x%08x".formatted(entry.ip.hashCode(), 100 * round + number);
					Thread client = new Thread(() -> record.line("POST %s of %d bytes at %s: %s", path, body.length(),
							entry.name, Operator.client(entry, "POST", path, body)));
					client.start();
					clients.add(client);
				}
				for (Thread client : clients) {
					client.join();
				}
				Thread.sleep(1_000);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String largeBody() {
		StringBuilder body = new StringBuilder("{\"specification\":\"ms=800\",\"steps\":[{}");
		while (body.length() < BODY_BYTES - 5) {
			body.append(",{}");
		}
		return body.append("]}").toString();
	}

}
