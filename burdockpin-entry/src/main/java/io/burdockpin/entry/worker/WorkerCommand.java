package io.burdockpin.entry.worker;

import io.burdockpin.codec.json.WorkerAnnouncement;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.report.WorkerReportBatch;
import io.burdockpin.entry.control.ConfigurationEvent;
import org.apache.pekko.actor.typed.ActorRef;

/** What the sessions of workers can be asked. */
public sealed interface WorkerCommand {

	/**
	 * Takes the announcement of a worker.
	 *
	 * @param announcement what it announces
	 * @param replyTo gets the orders that have arrived for it
	 */
	record Announce(WorkerAnnouncement announcement,
			ActorRef<WorkerAnnouncementReply> replyTo) implements WorkerCommand {

	}

	/**
	 * The live peers have changed.
	 *
	 * @param view the peers
	 */
	record PeersChanged(PeerView view) implements WorkerCommand {

	}

	/**
	 * The leader answered a batch of reports, or it is not known whether it got it.
	 *
	 * @param batch the batch
	 * @param result the answer
	 */
	record BatchEnded(WorkerReportBatch batch, CallResult result) implements WorkerCommand {

	}

	/**
	 * A configuration is in force.
	 *
	 * @param event which one
	 */
	record ConfigurationChanged(ConfigurationEvent event) implements WorkerCommand {

	}

	/** Begins a graceful stop: workers are sent elsewhere. */
	enum BeginStop implements WorkerCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Time to send the reports. */
	enum Tick implements WorkerCommand {

		/** The only instance. */
		INSTANCE

	}

}
