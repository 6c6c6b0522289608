package io.burdockpin.runtime.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.common.truth.Truth;
import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;
import org.apache.pekko.Done;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against event files that lack the last events before a graceful stop. */
class EventLogTests {

	private static final int EVENTS = 5_000;

	private final ActorTestKit testKit = ActorTestKit.create();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	@Test
	void allEventsAppendedBeforeTheCloseAreInTheFile() throws IOException {
		Path file = this.folder.resolve("events.jsonl");
		ActorRef<EventLog.Command> log = this.testKit.spawn(EventLog.create(file, Long.MAX_VALUE, new EventJsonCodec(),
				new ProcessDescription("burdock-entry", "e1", "dc1", 1)));
		TestProbe<Done> closed = this.testKit.createTestProbe();
		for (int number = 0; number < EVENTS; number++) {
			log.tell(new EventLog.Append(Event.of(EventKind.PROCESS_STOPPING, new HybridTimestamp(number, 0))));
		}
		log.tell(new EventLog.Close(closed.getRef()));
		closed.receiveMessage();
		Truth.assertThat(Files.readAllLines(file)).hasSize(EVENTS);
	}

}
