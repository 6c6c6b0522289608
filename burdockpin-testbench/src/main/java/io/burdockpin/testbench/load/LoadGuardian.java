package io.burdockpin.testbench.load;

import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Root of the load tool. Prints the report as JSON; the program fails if an answer did
 * not belong to its request.
 */
public final class LoadGuardian extends AbstractBehavior<GuardianCommand> {

	private final CompletableFuture<ExitStatus> exit;

	private final ObjectMapper mapper = new ObjectMapper();

	private LoadGuardian(ActorContext<GuardianCommand> context, LoadSettings settings,
			CompletableFuture<ExitStatus> exit) {
		super(context);
		this.exit = exit;
		ActorRef<LoadReport> report = context.messageAdapter(LoadReport.class, Finished::new);
		context.spawn(LoadActor.create(settings, report), "load");
	}

	// life cycle

	/**
	 * Creates the root behavior.
	 * @param settings the settings
	 * @param exit the exit status of the program
	 * @return the behavior
	 */
	public static Behavior<GuardianCommand> create(LoadSettings settings, CompletableFuture<ExitStatus> exit) {
		return Behaviors.setup((context) -> new LoadGuardian(context, settings, exit));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(Finished.class, this::onFinished)
			.onMessage(GuardianCommand.Stop.class, (command) -> Behaviors.stopped())
			.build();
	}

	private Behavior<GuardianCommand> onFinished(Finished finished) throws JsonProcessingException {
		System.out.println(this.mapper.writeValueAsString(finished.report()));
		this.exit.complete((finished.report().wrongAnswers() == 0) ? ExitStatus.SUCCESS : ExitStatus.FAILURE);
		return Behaviors.stopped();
	}

	/**
	 * The run has ended.
	 *
	 * @param report its result
	 */
	private record Finished(LoadReport report) implements GuardianCommand {

	}

}
