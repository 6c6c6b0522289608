package io.burdockpin.runtime.link;

import com.google.common.truth.Truth;
import org.apache.pekko.actor.DeadLetter;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an actor that fails because its connection ended at the same moment. */
class LinkStreamTests {

	private final ActorTestKit testKit = ActorTestKit.create();

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against a line of the library in the log for each connection that closes.
	 */
	@Test
	void theEndOfTheConnectionOfAClosedLinkIsNoDeadLetter() {
		TestProbe<DeadLetter> deadLetters = this.testKit.createTestProbe();
		subscribe(deadLetters);
		ActorRef<LinkCommand<String>> closed = this.testKit.spawn(Behaviors.stopped());
		deadLetters.expectTerminated(closed);
		closed.tell(new LinkCommand.ConnectionClosed<>(0, "ended"));
		closed.tell(new LinkCommand.Send<>("lost"));
		DeadLetter letter = deadLetters.receiveMessage();
		Truth.assertThat(letter.message()).isInstanceOf(LinkCommand.Send.class);
	}

	@Test
	void aQueueThatTheStreamCompletesAtTheSameTimeIsLeftAlone() {
		LinkStream.complete(new CompletedByTheStream());
	}

	/**
	 * Subscribes before it returns. The typed event stream is an actor, which may handle
	 * a subscription only after the next dead letter is published.
	 */
	private void subscribe(TestProbe<DeadLetter> deadLetters) {
		Adapter.toClassic(this.testKit.system())
			.eventStream()
			.subscribe(Adapter.toClassic(deadLetters.getRef()), DeadLetter.class);
	}

	/** A queue that the stream completes right after it was found open. */
	private static final class CompletedByTheStream implements BoundedSourceQueue<ByteString> {

		@Override
		public QueueOfferResult offer(ByteString frame) {
			return QueueOfferResult.enqueued();
		}

		@Override
		public void complete() {
			throw new IllegalStateException("The queue has already been completed.");
		}

		@Override
		public void fail(Throwable failure) {
			throw new IllegalStateException("The queue has already been completed.");
		}

		@Override
		public boolean isCompleted() {
			return false;
		}

		@Override
		public int size() {
			return 0;
		}

	}

}
