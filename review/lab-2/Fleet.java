import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The runners, and what they have seen. */
final class Fleet implements AutoCloseable {

	static final int HEARTBEAT_MILLIS = 1_500;

	private final Lab lab;

	final List<Runner> runners = new CopyOnWriteArrayList<>();

	private final List<Event> events = new ArrayList<>();

	private volatile boolean closing;

	Fleet(Lab lab) {
		this.lab = lab;
		Thread ticks = new Thread(() -> {
			while (!this.closing) {
				this.runners.forEach(Runner::tick);
				sleep(5);
			}
		}, "runs");
		ticks.setDaemon(true);
		ticks.start();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Reads a number from a specification such as "ms=800 fails=2". */
	static int value(String specification, String name, int otherwise) {
		Matcher matcher = Pattern.compile("\\b" + name + "=(\\d+)").matcher(specification);
		return matcher.find() ? Integer.parseInt(matcher.group(1)) : otherwise;
	}

	Runner add(String service, int number, int control) throws IOException {
		Runner runner = new Runner(this.lab, this, "i-" + service + "-" + number, "m-" + service + "-" + number, service,
				"zone-" + number % 3, this.lab.address(100 + number), this.lab.port + 7);
		runner.prefer(control);
		this.runners.add(runner);
		Thread beats = new Thread(() -> {
			while (!this.closing && runner.up) {
				if (!runner.awaitingAnswer) {
					runner.beat(3);
				}
				sleep(HEARTBEAT_MILLIS);
			}
		}, "heartbeats of " + runner.id);
		beats.setDaemon(true);
		beats.start();
		return runner;
	}

	synchronized void onStart(Runner runner, String task, int run) {
		this.lab.log("runner %s starts %s run %d", runner.id, task, run);
		this.events.add(new Event(this.lab.millis(), "start", runner.id, task, run));
	}

	synchronized void onEnd(Runner runner, String task, int run, String how) {
		this.lab.log("runner %s ends %s run %d: %s", runner.id, task, run, how);
		this.events.add(new Event(this.lab.millis(), how, runner.id, task, run));
	}

	synchronized void onNoted(Runner runner, String task, int run, String how) {
		this.lab.log("runner %s is told that the end of %s run %d (%s) is noted", runner.id, task, run, how);
		this.events.add(new Event(this.lab.millis(), "noted " + how, runner.id, task, run));
	}

	synchronized List<Event> events() {
		return List.copyOf(this.events);
	}

	@Override
	public void close() {
		this.closing = true;
		this.runners.forEach(Runner::crash);
	}

	record Event(long millis, String kind, String runner, String task, int run) {

	}

}
