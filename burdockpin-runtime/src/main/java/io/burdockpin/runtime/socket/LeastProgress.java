package io.burdockpin.runtime.socket;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Chooses the connection that is dropped when clients outside the limits fill a listener:
 * the one that has made the least progress for what it holds and for how long. Many
 * clients that stop just short of the end of their request are dropped one after the
 * other, oldest and largest first; a connection that makes progress has not stalled and
 * stays while another one has. Stateless.
 */
final class LeastProgress {

	private LeastProgress() {
	}

	/**
	 * Chooses a connection.
	 * @param <C> type of a connection
	 * @param connections the connections that may be dropped
	 * @param progress the progress of a connection
	 * @return the connection with the largest burden; empty if there are none
	 */
	static <C> Optional<C> choose(Stream<C> connections, Function<C, ReceiveProgress> progress) {
		return connections.map((connection) -> new Candidate<>(connection, progress.apply(connection).burden()))
			.max(Comparator.comparingDouble(Candidate::burden))
			.map(Candidate::connection);
	}

	private record Candidate<C>(C connection, double burden) {

	}

}
