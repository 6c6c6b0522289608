package io.burdockpin.benchmark.policy;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobCommand;

/** Reads job commands. Has no state. */
final class JobCommands {

	private JobCommands() {
	}

	static JobId jobOf(JobCommand command) {
		if (command instanceof JobCommand.SubmitJob submit) {
			return submit.job();
		}
		if (command instanceof JobCommand.PlaceJob place) {
			return place.job();
		}
		if (command instanceof JobCommand.ConfirmStart start) {
			return start.job();
		}
		if (command instanceof JobCommand.FinishJob finish) {
			return finish.job();
		}
		if (command instanceof JobCommand.InterruptJob interrupt) {
			return interrupt.job();
		}
		if (command instanceof JobCommand.CancelJob cancel) {
			return cancel.job();
		}
		if (command instanceof JobCommand.ParkJob park) {
			return park.job();
		}
		if (command instanceof JobCommand.UnparkJob unpark) {
			return unpark.job();
		}
		return ((JobCommand.AcknowledgeResult) command).job();
	}

}
