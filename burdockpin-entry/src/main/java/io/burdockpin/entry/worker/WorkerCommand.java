package io.burdockpin.entry.worker;

import io.burdockpin.codec.json.WorkerAnnouncement;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.report.WorkerReportBatch;
import io.burdockpin.entry.control.ConfigurationEvent;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages to the {@link WorkerReportActor}. */
public sealed interface WorkerCommand {

	/**
	 * Announcement of a worker.
	 *
	 * @param announcement the decoded document
	 * @param replyTo receives the pending orders for the worker
	 */
	record Announce(WorkerAnnouncement announcement,
			ActorRef<WorkerAnnouncementReply> replyTo) implements WorkerCommand {

	}

	/**
	 * The set of reachable peers has changed.
	 *
	 * @param view the current peers
	 */
	record PeersChanged(PeerView view) implements WorkerCommand {

	}

	/**
	 * The leader answered a batch of reports, or the call failed with unknown outcome.
	 *
	 * @param batch the reports that were sent
	 * @param result the answer or the failure
	 */
	record BatchEnded(WorkerReportBatch batch, CallResult result) implements WorkerCommand {

	}

	/**
	 * The configuration or its state has changed.
	 *
	 * @param event the change
	 */
	record ConfigurationChanged(ConfigurationEvent event) implements WorkerCommand {

	}

	/** Begins a graceful stop: workers are redirected to other entry hosts. */
	enum BeginStop implements WorkerCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Triggers the next batch of reports. */
	enum Tick implements WorkerCommand {

		/** The only instance. */
		INSTANCE

	}

}
