package io.burdockpin.batch;

import java.time.Duration;

import io.burdockpin.batch.call.LeaderClientCommand;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetCall;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * Periodically requests the admission of this member to the control group. The leader
 * learns the data centre of each member from these requests, and admits this one once the
 * group needs it.
 */
final class GroupJoiner {

	/** A member that lost its disk should be replaced within one or two seconds. */
	private static final Duration PERIOD = Duration.ofSeconds(1);

	private GroupJoiner() {
	}

	static Behavior<Due> create(FleetCall.Join join, ActorRef<LeaderClientCommand> leader) {
		return Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(Due.INSTANCE, PERIOD);
			return Behaviors.receive(Due.class).onMessageEquals(Due.INSTANCE, () -> {
				leader.tell(new LeaderClientCommand.Ask(join, PERIOD.toMillis(), ReplyPort.NONE));
				return Behaviors.same();
			}).build();
		});
	}

	/** Sent by the actor to itself. */
	enum Due {

		/** The next request is due. */
		INSTANCE

	}

}
