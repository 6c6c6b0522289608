package io.burdockpin.runtime.link;

import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;

/** Guards against an actor that fails because its connection ended at the same moment. */
class LinkStreamTests {

	@Test
	void aQueueThatTheStreamCompletesAtTheSameTimeIsLeftAlone() {
		LinkStream.complete(new CompletedByTheStream());
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
