package io.burdockpin.runtime.link;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.io.FrameCodec;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Runs the stream that frames the messages of one connection, for the actor that owns it.
 * Stateless.
 */
final class LinkStream {

	/**
	 * Whether a connection stays open for reading after its sending side is closed. A
	 * full close would drop the data that the peer has not read yet.
	 */
	static final boolean HALF_CLOSE = true;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private LinkStream() {
	}

	/**
	 * Closes the sending side after the queued frames. Completing a queue twice is an
	 * error, so a completed one is left alone. The stream may complete it at any time.
	 * @param sendQueue the queue of a connection, which may be completed
	 */
	static void complete(BoundedSourceQueue<ByteString> sendQueue) {
		if (sendQueue.isCompleted()) {
			return;
		}
		try {
			sendQueue.complete();
		}
		catch (IllegalStateException ex) {
			logger.atFine().withCause(ex).log("The connection ended while its sending side was closed.");
		}
	}

	/**
	 * Runs a connection until it ends.
	 * @param <M> type of the messages
	 * @param connection the byte stream of the connection
	 * @param codec encodes and decodes the messages
	 * @param settings the link settings
	 * @param onMessage called for each message; must only send it to an actor
	 * @param materializer runs the stream
	 * @return the queue of frames to send, and a stage that completes when the connection
	 * ends
	 */
	static <M> Pair<BoundedSourceQueue<ByteString>, CompletionStage<Done>> run(
			Flow<ByteString, ByteString, NotUsed> connection, FrameCodec<M> codec, LinkSettings settings,
			Consumer<M> onMessage, Materializer materializer) {
		Flow<ByteString, ByteString, NotUsed> framed = Framing.simpleFramingProtocol(settings.maximumFrameBytes())
			.join(connection);
		return Source.<ByteString>queue(settings.sendBufferFrames())
			.via(framed)
			.map((frame) -> codec.decode(frame.toArrayUnsafe()))
			.toMat(Sink.foreach(onMessage::accept), Keep.both())
			.addAttributes(settings.attributes())
			.run(materializer);
	}

}
