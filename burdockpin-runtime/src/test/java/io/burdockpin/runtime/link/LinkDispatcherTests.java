package io.burdockpin.runtime.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LinkDispatcherTests {

	private static final String DISPATCHER = "test.link-dispatcher";

	private static final int DEFAULT_THREADS = 2;

	private static final long TEST_TIMEOUT_SECONDS = 60;

	private final ActorTestKit kit = ActorTestKit.create(ConfigFactory.parseString("""
			test.link-dispatcher {
			  type = Dispatcher
			  executor = "thread-pool-executor"
			  thread-pool-executor.fixed-pool-size = 1
			}
			pekko.actor.default-dispatcher {
			  executor = "thread-pool-executor"
			  thread-pool-executor.fixed-pool-size = 2
			}
			""").withFallback(ConfigFactory.load()));

	private final CountDownLatch release = new CountDownLatch(1);

	@AfterEach
	void stop() {
		this.release.countDown();
		this.kit.shutdownTestKit();
	}

	/**
	 * Guards against heartbeats that are delayed by other work: all threads of the
	 * default dispatcher are blocked while a message is sent on an open link.
	 */
	@Test
	void aLinkWithItsOwnDispatcherDeliversWhileTheDefaultDispatcherIsBlocked() throws Exception {
		CompletableFuture<ActorRef<LinkCommand<String>>> connected = new CompletableFuture<>();
		BlockingQueue<String> received = new LinkedBlockingQueue<>();
		LinkSettings settings = LinkSettings.DEFAULT.withDispatcher(DISPATCHER);
		InetSocketAddress address = listen(settings, received);
		spawn(OutboundLink.create("link", "peer", address, new TlsLinkTests.TextCodec(), (message) -> "peer", settings,
				events(connected, new LinkedBlockingQueue<>())), "outbound");
		ActorRef<LinkCommand<String>> link = connected.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		link.tell(new LinkCommand.Send<>("first"));
		Truth.assertThat(received.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("first");
		blockDefaultThreads();
		link.tell(new LinkCommand.Send<>("heartbeat"));
		Truth.assertThat(received.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("heartbeat");
	}

	private void blockDefaultThreads() throws InterruptedException {
		CountDownLatch blocked = new CountDownLatch(DEFAULT_THREADS);
		for (int number = 0; number < DEFAULT_THREADS; number++) {
			this.kit.system().executionContext().execute(() -> {
				blocked.countDown();
				try {
					this.release.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
		}
		Truth.assertThat(blocked.await(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
	}

	private InetSocketAddress listen(LinkSettings settings, BlockingQueue<String> received) throws IOException {
		InetSocketAddress address = TlsLinkTests.freeAddress();
		spawn(LinkListener.create("listener", address, new TlsLinkTests.TextCodec(), (message) -> "peer", settings,
				events(new CompletableFuture<>(), received)), "listener");
		return address;
	}

	private ActorRef<LinkEvent<String>> events(CompletableFuture<ActorRef<LinkCommand<String>>> connected,
			BlockingQueue<String> received) {
		Behavior<LinkEvent<String>> behavior = Behaviors.receiveMessage((event) -> {
			if (event instanceof LinkEvent.Connected<String> opened) {
				connected.complete(opened.session());
			}
			else if (event instanceof LinkEvent.Received<String> arrived) {
				received.add(arrived.message());
			}
			return Behaviors.same();
		});
		return spawn(behavior, "events-" + System.identityHashCode(received));
	}

	private <T> ActorRef<T> spawn(Behavior<T> behavior, String name) {
		return this.kit.spawn(behavior, name, DispatcherSelector.fromConfig(DISPATCHER));
	}

}
