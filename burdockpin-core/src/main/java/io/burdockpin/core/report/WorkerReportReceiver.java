package io.burdockpin.core.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.client.ClientMessage.UnchangedWorker;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.report.LiveWorker.ReportKind;

/**
 * Derives from the batches of the entry hosts which workers are live and what their
 * current reports are. Empty after a change of leader. Not thread-safe; owned by one
 * planner.
 * <p>
 * An earlier report remains valid only as long as all batches of its generation have
 * arrived in order, because each of them may name the worker as silent. A worker belongs
 * to the entry host that sent its last report, so that an entry host that the worker has
 * left cannot confirm its liveness.
 */
public final class WorkerReportReceiver {

	/**
	 * Workers that are not named are reconciled at the interval of their announcements.
	 */
	private static final long RECONCILIATION_PERIOD_MILLIS = 1_000;

	private final Map<HostName, BatchSource> sources = new HashMap<>();

	private final Map<HostName, WorkerEntry> workers = new HashMap<>();

	/** Discards all workers and entry hosts at the start of a new term. */
	public void reset() {
		this.sources.clear();
		this.workers.clear();
	}

	/**
	 * Handles a batch.
	 * @param sender the entry host and its incarnation
	 * @param batch the received batch
	 * @param nowMillis when the batch arrived
	 * @return the live workers, or empty if the batch is a duplicate or outdated
	 */
	public Optional<ReceivedBatch> receive(Holder sender, WorkerReports batch, long nowMillis) {
		BatchSource source = this.sources.get(sender.host());
		if (source != null && source.isOutdated(sender, batch)) {
			return Optional.empty();
		}
		if (batch.number() == 0) {
			source = new BatchSource(sender.incarnation(), batch.generation());
			this.sources.put(sender.host(), source);
		}
		else if (source == null || !source.isNext(sender, batch)) {
			return Optional.of(new ReceivedBatch(true, List.of()));
		}
		source.nextNumber = batch.number() + 1;
		return Optional.of(new ReceivedBatch(!ownsAllUnchanged(source, batch), liveWorkers(source, batch, nowMillis)));
	}

	// helpers

	private boolean ownsAllUnchanged(BatchSource source, WorkerReports batch) {
		return batch.unchanged().stream().allMatch((worker) -> owns(source, worker.worker()));
	}

	private boolean owns(BatchSource source, HostName worker) {
		WorkerEntry entry = this.workers.get(worker);
		return entry != null && entry.source == source && source.workers.contains(worker);
	}

	private List<LiveWorker> liveWorkers(BatchSource source, WorkerReports batch, long nowMillis) {
		List<LiveWorker> live = new ArrayList<>();
		Set<HostName> named = new HashSet<>(batch.silent());
		for (WorkerReport report : batch.reports()) {
			named.add(report.worker());
			WorkerEntry entry = this.workers.computeIfAbsent(report.worker(), (name) -> new WorkerEntry());
			Optional.ofNullable(entry.source).ifPresent((owner) -> owner.workers.remove(report.worker()));
			entry.source = source;
			source.workers.add(report.worker());
			live.add(entry.onNamed(report, nowMillis, ReportKind.NEW));
		}
		for (UnchangedWorker worker : batch.unchanged()) {
			named.add(worker.worker());
			if (owns(source, worker.worker())) {
				WorkerEntry entry = this.workers.get(worker.worker());
				live.add(entry.onNamed(entry.report.withSequence(worker.sequence()), nowMillis, ReportKind.UNCHANGED));
			}
		}
		batch.silent().forEach((worker) -> remove(source, worker));
		source.workers.stream()
			.filter((worker) -> !named.contains(worker))
			.map((worker) -> this.workers.get(worker).onImplied(nowMillis - batch.heardWithinMillis(), nowMillis))
			.forEach(live::add);
		return live;
	}

	private void remove(BatchSource source, HostName worker) {
		if (owns(source, worker)) {
			this.workers.remove(worker);
		}
		source.workers.remove(worker);
	}

	/**
	 * Content of a received batch. Immutable.
	 *
	 * @param resend whether earlier batches are missing, so that the entry host must send
	 * all reports again
	 * @param workers the live workers of the entry host
	 */
	public record ReceivedBatch(boolean resend, List<LiveWorker> workers) {

		public ReceivedBatch {
			workers = List.copyOf(workers);
		}

	}

	/**
	 * Sequence of batches with the same generation from one incarnation of an entry host.
	 */
	private static final class BatchSource {

		private final long incarnation;

		private final long generation;

		private final Set<HostName> workers = new HashSet<>();

		private long nextNumber;

		private BatchSource(long incarnation, long generation) {
			this.incarnation = incarnation;
			this.generation = generation;
		}

		private boolean isOutdated(Holder sender, WorkerReports batch) {
			if (sender.incarnation() != this.incarnation) {
				return sender.incarnation() < this.incarnation;
			}
			return batch.generation() < this.generation
					|| (batch.generation() == this.generation && batch.number() < this.nextNumber);
		}

		private boolean isNext(Holder sender, WorkerReports batch) {
			return sender.incarnation() == this.incarnation && batch.generation() == this.generation
					&& batch.number() == this.nextNumber;
		}

	}

	/** Last report and contact of one worker. */
	private static final class WorkerEntry {

		private BatchSource source;

		private WorkerReport report;

		private long lastContactMillis;

		private long lastReconciledMillis;

		private LiveWorker onNamed(WorkerReport newReport, long nowMillis, ReportKind kind) {
			this.report = newReport;
			this.lastContactMillis = Math.max(this.lastContactMillis, nowMillis);
			this.lastReconciledMillis = nowMillis;
			return new LiveWorker(newReport, this.lastContactMillis, kind, true);
		}

		private LiveWorker onImplied(long contactMillis, long nowMillis) {
			this.lastContactMillis = Math.max(this.lastContactMillis, contactMillis);
			boolean due = nowMillis - this.lastReconciledMillis >= RECONCILIATION_PERIOD_MILLIS;
			if (due) {
				this.lastReconciledMillis = nowMillis;
			}
			return new LiveWorker(this.report, this.lastContactMillis, ReportKind.IMPLIED, due);
		}

	}

}
