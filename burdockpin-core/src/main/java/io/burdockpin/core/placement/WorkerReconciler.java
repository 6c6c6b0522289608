package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/**
 * Reconciles worker reports with the replicated records: differences result in commands
 * that update the state and in orders to the worker. Not thread-safe; owned by one
 * planner.
 */
public final class WorkerReconciler {

	private final LeaseSettings settings;

	private final JobLeases leases;

	private final WorkerTable workers;

	private final StartGuard startGuard;

	private final InterventionTable interventions;

	private final JobObserver jobObserver;

	/**
	 * Creates a reconciler.
	 * @param settings the lease duration and the liveness timeout
	 * @param leases the leases that reports renew
	 * @param workers the table of the last report of each worker
	 * @param startGuard decides whether a start order may be sent
	 * @param interventions the pending orders of the planner
	 * @param observer receives the reported usage and outcomes of jobs
	 */
	public WorkerReconciler(LeaseSettings settings, JobLeases leases, WorkerTable workers, StartGuard startGuard,
			InterventionTable interventions, JobObserver observer) {
		this.settings = settings;
		this.leases = leases;
		this.workers = workers;
		this.startGuard = startGuard;
		this.interventions = interventions;
		this.jobObserver = observer;
	}

	/**
	 * Reconciles a new report.
	 * @param report the report, which lists all jobs that the worker runs and the ended
	 * jobs that the leader has not acknowledged
	 * @param jobs the jobs of the newest view
	 * @param nowMillis when the report arrived
	 * @return the commands and the orders
	 */
	public ReconciliationResult reconcile(WorkerReport report, JobIndex jobs, long nowMillis) {
		return reconcile(new Draft(report, nowMillis, true), jobs);
	}

	/**
	 * Reconciles an earlier report that is still valid. Its usage is not recorded again.
	 * @param report the last report of the worker
	 * @param jobs the jobs of the newest view
	 * @param lastContactMillis a time at which the worker is known to have been live
	 * @return the commands and the orders
	 */
	public ReconciliationResult reconcileUnchanged(WorkerReport report, JobIndex jobs, long lastContactMillis) {
		return reconcile(new Draft(report, lastContactMillis, false), jobs);
	}

	/**
	 * Records that a worker is live and its last report is still valid.
	 * @param report the last report of the worker
	 * @param lastContactMillis a time at which the worker is known to have been live
	 */
	public void recordContact(WorkerReport report, long lastContactMillis) {
		this.workers.recordReport(report, lastContactMillis);
	}

	// helpers

	private ReconciliationResult reconcile(Draft draft, JobIndex jobs) {
		WorkerReport report = draft.report;
		boolean rebooted = hasRebooted(report);
		this.workers.recordReport(report, draft.nowMillis);
		for (JobReport jobReport : report.jobs()) {
			draft.reported.add(jobReport.job());
			reconcileReported(draft, jobReport, jobs.find(jobReport.job()));
		}
		for (JobRecord job : jobs.placedOn(report.worker())) {
			if (!draft.reported.contains(job.id())) {
				reconcileMissing(draft, job, rebooted);
			}
		}
		return draft.toResult(this.settings.leaseMillis());
	}

	private boolean hasRebooted(WorkerReport report) {
		Optional<WorkerTable.LastReport> last = this.workers.lastReport(report.worker());
		return last.isPresent() && !last.get().bootId().equals(report.bootId());
	}

	private void reconcileReported(Draft draft, JobReport jobReport, Optional<JobRecord> known) {
		if (known.isPresent() && jobReport.leaseEpoch() > known.get().leaseEpoch()) {
			// The worker has received a newer placement than this view contains.
			return;
		}
		Optional<JobRecord> current = known.filter((job) -> isCurrent(job, jobReport, draft.report.worker()));
		if (current.isPresent()) {
			reconcileCurrent(draft, jobReport, current.get());
		}
		else {
			rejectReported(draft, jobReport);
		}
	}

	private boolean isCurrent(JobRecord job, JobReport jobReport, HostName worker) {
		boolean open = job.state().holdsCapacity() || resolvesUnknownOutcome(job, jobReport);
		return open && job.leaseEpoch() == jobReport.leaseEpoch() && job.worker().equals(Optional.of(worker));
	}

	private static boolean resolvesUnknownOutcome(JobRecord job, JobReport jobReport) {
		boolean ended = jobReport.phase() == JobPhase.SUCCEEDED || jobReport.phase() == JobPhase.FAILED;
		return job.state() == JobState.OUTCOME_UNKNOWN && ended;
	}

	private void reconcileCurrent(Draft draft, JobReport jobReport, JobRecord job) {
		JobPhaseHandler handler = JobPhaseHandler.of(jobReport.phase());
		Optional<Command> override = (draft.newReport || !handler.occupiesWorker())
				? this.jobObserver.observe(job, jobReport, draft.report.worker(), draft.nowMillis) : Optional.empty();
		override.or(() -> handler.commandFor(job, jobReport)).ifPresent(draft.commands::add);
		this.startGuard.forget(job.id());
		if (!handler.occupiesWorker()) {
			return;
		}
		this.leases.renew(job.id(), job.leaseEpoch(), draft.nowMillis);
		draft.renewed.add(job.id());
		if (job.cancelRequested()) {
			draft.orders.add(jobOrder(job.id(), job.leaseEpoch(), JobOrderKind.STOP, 0));
			return;
		}
		this.interventions.pendingFor(job).ifPresent((intervention) -> {
			draft.orders.add(jobOrder(job.id(), job.leaseEpoch(), intervention.kind(), intervention.throttlePercent()));
			this.interventions.onSent(intervention);
		});
	}

	private void rejectReported(Draft draft, JobReport jobReport) {
		boolean occupies = JobPhaseHandler.of(jobReport.phase()).occupiesWorker();
		JobOrderKind kind = occupies ? JobOrderKind.STOP : JobOrderKind.FORGET;
		draft.orders.add(jobOrder(jobReport.job(), jobReport.leaseEpoch(), kind, 0));
	}

	private void reconcileMissing(Draft draft, JobRecord job, boolean rebooted) {
		if (job.state() == JobState.PLACED && mayStart(draft, job)) {
			draft.starts.add(startOrder(job));
		}
		else if (isLost(draft, job, rebooted)) {
			draft.commands.add(new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), false, job.checkpoint()));
		}
	}

	private boolean mayStart(Draft draft, JobRecord job) {
		return !job.cancelRequested() && this.startGuard.permitStart(job, draft.report.bootId());
	}

	private boolean isLost(Draft draft, JobRecord job, boolean rebooted) {
		return rebooted || this.leases.leasePeriodHasPassed(job, draft.nowMillis);
	}

	private static JobOrder startOrder(JobRecord job) {
		return new JobOrder(job.id(), job.leaseEpoch(), JobOrderKind.START, job.spec().resources(),
				job.spec().runMillis(), job.spec().repeatable(), job.spec().payload(), job.checkpoint(), 0);
	}

	private static JobOrder jobOrder(JobId job, long leaseEpoch, JobOrderKind kind, int throttlePercent) {
		return new JobOrder(job, leaseEpoch, kind, Resources.NONE, 0, false, Payload.EMPTY, Payload.EMPTY,
				throttlePercent);
	}

	/**
	 * Collects the commands and orders for one report. Stop orders precede start orders,
	 * so that a started job can use the capacity that a stopped one frees.
	 */
	private static final class Draft {

		private final WorkerReport report;

		private final long nowMillis;

		private final boolean newReport;

		private final Set<JobId> reported = new HashSet<>();

		private final List<Command> commands = new ArrayList<>();

		private final List<JobId> renewed = new ArrayList<>();

		private final List<JobOrder> orders = new ArrayList<>();

		private final List<JobOrder> starts = new ArrayList<>();

		private Draft(WorkerReport report, long nowMillis, boolean fresh) {
			this.report = report;
			this.nowMillis = nowMillis;
			this.newReport = fresh;
		}

		private ReconciliationResult toResult(long leaseMillis) {
			List<JobOrder> all = new ArrayList<>(this.orders);
			all.addAll(this.starts);
			WorkerOrder order = new WorkerOrder(this.report.worker(), this.report.sequence(), leaseMillis, this.renewed,
					all);
			return new ReconciliationResult(this.commands, order);
		}

	}

}
