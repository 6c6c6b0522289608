import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client leaves a request that a frozen entry machine holds, cancels its job elsewhere and is told that
 * there is none. The job must not run afterwards.
 */
final class LateSubmission {

	/** node_freeze of quillca-pin.toml. */
	private static final long FREEZE_MILLIS = 3_500;

	/** bounds.cancel_ms. */
	private static final long CANCEL_MILLIS = 3_000;

	/** Half of the objective of the queue, as in give_up. */
	private static final long PATIENCE_MILLIS = 300;

	private static final String PATH = "/checks/00000000000000c1";

	private LateSubmission() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of("").toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path file = Path.of(arguments[0], "record.txt");
		int status = 2;
		List<Runner> runners = new ArrayList<>();
		try (Fleet.Record record = new Fleet.Record(file); Fleet fleet = new Fleet(root, record, 3, 2)) {
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
		Fleet.Machine frozen = fleet.entries.get(0);
		Fleet.Machine other = fleet.entries.get(1);
		if (!frozen.awaitReady(20_000) || !other.awaitReady(20_000)) {
			record.line("an entry machine is not ready");
			return 2;
		}
		Thread.sleep(5_000);
		String ordinary = "{\"specification\":\"ms=800\",\"steps\":[{\"count\":2,\"cpu\":880,\"memMb\":1300,"
				+ "\"estimatedMs\":800}]}";
		if (!Operator.client(frozen, "POST", "/checks/00000000000000a1", ordinary).isSuccess()) {
			record.line("an ordinary job was not accepted");
			return 2;
		}
		Thread.sleep(2_000);
		if (trouble) {
			frozen.signal("STOP");
		}
		boolean isAnswered = submitAndLeave(frozen, record, ordinary);
		long cancelNanos = 0;
		for (int attempt = 0; attempt < 5 && cancelNanos == 0; attempt++) {
			Fleet.Reply reply = Operator.client(other, "DELETE", PATH, null);
			record.line("DELETE %s at %s: %s", PATH, other.name, reply);
			if (reply.isSuccess() || reply.status() == 410) {
				cancelNanos = System.nanoTime();
			}
		}
		if (cancelNanos == 0) {
			record.line("the cancelling was not acknowledged");
			return 2;
		}
		if (trouble) {
			Thread.sleep(FREEZE_MILLIS - PATIENCE_MILLIS);
			frozen.signal("CONT");
		}
		Thread.sleep(10_000);
		record.line("state of the job: %s", Operator.client(other, "GET", PATH, null));
		long acknowledged = cancelNanos;
		long late = runners.stream()
			.flatMap((runner) -> runner.starts().stream())
			.filter((start) -> start.task().startsWith("00000000000000c1."))
			.peek((start) -> record.line("%s started %.3f s after the cancelling was acknowledged", start.task(),
					(start.atNanos() - acknowledged) / 1e9))
			.filter((start) -> start.atNanos() - acknowledged > CANCEL_MILLIS * 1_000_000)
			.count();
		record.line("submission answered: %s; %d tasks started later than cancel_ms after the cancelling", isAnswered,
				late);
		return (late > 0) ? 1 : 0;
	}

	// Closes the connection in the ordinary way when the client's patience ends.
	private static boolean submitAndLeave(Fleet.Machine entry, Fleet.Record record, String body) throws Exception {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(entry.ip, Fleet.FRONT_PORT), 1_000);
			String request = "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Remaining: 3000\r\n"
				.formatted(PATH, Operator.HOST, Operator.KEY)
					+ "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s".formatted(body.length(), body);
			OutputStream output = socket.getOutputStream();
			output.write(request.getBytes(StandardCharsets.UTF_8));
			output.flush();
			socket.setSoTimeout((int) PATIENCE_MILLIS);
			int first = socket.getInputStream().read();
			record.line("POST %s at %s: answered", PATH, entry.name);
			return first >= 0;
		}
		catch (java.net.SocketTimeoutException ex) {
			record.line("POST %s at %s: no answer in %d ms, the client leaves", PATH, entry.name, PATIENCE_MILLIS);
			return false;
		}
	}

}
