import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An entry machine is stopped and started in turn, and its settings file changes while it starts. Calls that
 * it holds must be answered.
 */
final class HangUp {

	/** bounds.lossSlackMs. */
	private static final long LOSS_SLACK_MILLIS = 200;

	private static final int ROUNDS = 3;

	private HangUp() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of("").toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Fleet.Record record = new Fleet.Record(Path.of(arguments[0], "record.txt"));
				Fleet fleet = new Fleet(root, record, 3, 1)) {
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
		Fleet.Machine entry = fleet.entries.get(0);
		if (entry.ignoresHangUp()) {
			record.line("this script was started with SIGHUP ignored");
			return 2;
		}
		int lost = 0;
		for (int round = 1; round <= ROUNDS; round++) {
			if (!entry.awaitReady(20_000)) {
				record.line("%s is not ready", entry.name);
				return 2;
			}
			Thread.sleep(4_000);
			if (!Operator.client(entry, "POST", "/checks/00000000000000a" + round, job()).isSuccess()) {
				record.line("an ordinary job was not accepted");
				return 2;
			}
			entry.terminate();
			entry.awaitRestart(10_000);
			Call call = new Call(entry, record, "/checks/00000000000000b" + round);
			if (!call.send()) {
				return 2;
			}
			Thread.sleep(LOSS_SLACK_MILLIS + 100);
			if (trouble && !call.isAnswered()) {
				entry.changeSettings();
				entry.signal("HUP");
			}
			lost += call.isLost() ? 1 : 0;
		}
		record.line("%d of %d calls were read and cut without an answer", lost, ROUNDS);
		return (lost > 0) ? 1 : 0;
	}

	private static String job() {
		return "{\"specification\":\"ms=800\",\"steps\":[{\"count\":2,\"cpu\":880,\"memMb\":1300,"
				+ "\"estimatedMs\":800}]}";
	}

	/** A call on a connection that the starting process accepts. */
	private static final class Call {

		private final Fleet.Machine entry;

		private final Fleet.Record record;

		private final String path;

		private Socket socket;

		private long sentNanos;

		private Call(Fleet.Machine entry, Fleet.Record record, String path) {
			this.entry = entry;
			this.record = record;
			this.path = path;
		}

		private boolean send() throws Exception {
			long until = System.nanoTime() + 10_000_000_000L;
			while (System.nanoTime() < until) {
				Socket attempt = new Socket();
				try {
					attempt.connect(new InetSocketAddress(this.entry.ip, Fleet.FRONT_PORT), 1_000);
					this.socket = attempt;
					break;
				}
				catch (java.io.IOException ex) {
					attempt.close();
					Thread.sleep(5);
				}
			}
			if (this.socket == null) {
				this.record.line("%s accepts no connections", this.entry.name);
				return false;
			}
			String body = job();
			String head = "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Remaining: 3000\r\n"
				.formatted(this.path, Operator.HOST, Operator.KEY);
			OutputStream output = this.socket.getOutputStream();
			output.write((head + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
				.formatted(body.length(), body)).getBytes(StandardCharsets.UTF_8));
			output.flush();
			this.sentNanos = System.nanoTime();
			this.record.line("POST %s sent to %s, ready: %s", this.path, this.entry.name, this.entry.isReady());
			return true;
		}

		private boolean isAnswered() throws Exception {
			return this.socket.getInputStream().available() > 0;
		}

		/** Tells whether the connection ended, lossSlackMs after the call was sent, without an answer. */
		private boolean isLost() throws Exception {
			String outcome;
			this.socket.setSoTimeout(6_000);
			try (Socket open = this.socket) {
				byte[] bytes = open.getInputStream().readNBytes(12);
				outcome = new String(bytes, StandardCharsets.ISO_8859_1);
			}
			catch (java.net.SocketTimeoutException ex) {
				outcome = "no answer and no end in 6 s";
			}
			catch (java.io.IOException ex) {
				outcome = "";
				this.record.line("the connection ended: %s", ex.getMessage());
			}
			long afterMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.sentNanos);
			this.record.line("POST %s: \"%s\" after %d ms", this.path, outcome, afterMillis);
			return outcome.isEmpty() && afterMillis > LOSS_SLACK_MILLIS;
		}

	}

}
