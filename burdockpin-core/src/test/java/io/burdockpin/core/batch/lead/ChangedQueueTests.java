package io.burdockpin.core.batch.lead;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.call.CallDecision;
import io.burdockpin.core.batch.call.CallRules;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.call.JobAdmission;
import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.Plan;
import io.burdockpin.core.batch.lead.plan.TaskPlanner;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.CommandResult;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Accepted jobs whose queue gets another name, changes places or is removed. */
class ChangedQueueTests {

	private static final RunnerRecord RUNNER = BatchFixtures.runner("r1", "pool", 1);

	private static final RunnerRecord OTHER_RUNNER = BatchFixtures.runner("r2", "other", 1);

	private static final JobSpec JOB = BatchFixtures.job(BatchFixtures.step(1));

	private final CallRules rules = new CallRules();

	private BatchState state = new BatchState();

	private long version;

	ChangedQueueTests() {
		apply(BatchFixtures.register(RUNNER));
		apply(BatchFixtures.register(OTHER_RUNNER));
		configure(queue("first", "/jobs/", "pool"), queue("second", "/others/", "other"));
	}

	/** Guards against accepted jobs that are lost when their queue gets another name. */
	@Test
	void aJobWhoseQueueGetsAnotherNameIsFoundPlannedAndCancelled() {
		submit("/jobs/a");
		configure(queue("renamed", "/jobs/", "pool"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(look("/jobs/")).isEqualTo(new FleetReply.QueueStatus(1));
		Truth.assertThat(plannedRunners()).containsExactly("r1");
		cancel("/jobs/a");
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.CANCELLED));
	}

	/** Guards against jobs that follow the name of their queue to another address. */
	@Test
	void jobsStayWithTheirAddressWhenQueuesExchangeTheirNames() {
		submit("/jobs/a");
		configure(queue("second", "/jobs/", "pool"), queue("first", "/others/", "other"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(look("/others/a")).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
		Truth.assertThat(look("/others/")).isEqualTo(new FleetReply.QueueStatus(0));
		Truth.assertThat(plannedRunners()).containsExactly("r1");
	}

	/** Guards against the same fault on a member that has restored a snapshot. */
	@Test
	void aJobIsFoundByItsAddressAfterASnapshotAndFurtherChangesOfNames() {
		submit("/jobs/a");
		configure(queue("renamed", "/jobs/", "pool"));
		restart();
		configure(queue("first", "/moved/", "other"), queue("third", "/jobs/", "pool"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(look("/moved/a")).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
		Truth.assertThat(plannedRunners()).containsExactly("r1");
	}

	/**
	 * Guards against a comparison of host names by case, which callers are not bound to.
	 */
	@Test
	void aJobIsFoundWhenTheHostOfItsQueueIsWrittenInAnotherCase() {
		submit("/jobs/a");
		configure(new BatchQueue("first", "HOST", "/jobs/", false, "pool", 0, 2, 3_000, 600, 1.6));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(plannedRunners()).containsExactly("r1");
	}

	/**
	 * Guards against an accepted job that never goes on because its queue was removed.
	 */
	@Test
	void aJobWhoseQueueIsRemovedGoesOnWhereItsQueueWasServedLast() {
		submit("/jobs/a");
		configure(queue("second", "/others/", "other"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(refused(FleetReply.Reason.NO_SUCH_QUEUE));
		Truth.assertThat(plannedRunners()).containsExactly("r1");
		restart();
		Truth.assertThat(plannedRunners()).containsExactly("r1");
	}

	@Test
	void aQueueThatReturnsUnderAnotherNameHasItsJobsAgain() {
		submit("/jobs/a");
		configure(queue("second", "/others/", "other"));
		restart();
		configure(queue("first", "/others/", "other"));
		configure(queue("first", "/others/", "other"), queue("back", "/jobs/", "other"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(look("/others/a")).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
		Truth.assertThat(plannedRunners()).containsExactly("r2");
	}

	/** Guards against 410 for an accepted job while another queue answers its path. */
	@Test
	void aJobIsFoundByItsPathWhenAShorterOrLongerPrefixAnswersInsteadOfItsOwn() {
		submit("/jobs/abc");
		configure(queue("all", "/", "pool"));
		Truth.assertThat(look("/jobs/abc")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(look("/abc")).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
		configure(queue("jobs", "/jobs/", "pool"), queue("longer", "/jobs/a", "pool"));
		Truth.assertThat(look("/jobs/abc")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
	}

	/** Guards against 200 for a job that no configuration has a queue for any more. */
	@Test
	void aSubmissionIsRefusedIfItsQueueIsRemovedWhileItIsBeingCommitted() {
		CallDecision.Commit decided = (CallDecision.Commit) this.rules
			.decide(new FleetCall.Submit("host", "/jobs/a", Optional.of("key"), JOB), this.state, JobAdmission.ALWAYS);
		configure(queue("second", "/others/", "other"));
		List<CommandResult> results = this.state.apply(new CommandGroup(1_000, List.of(decided.command())));
		Truth.assertThat(this.rules.reply(decided.command(), results.get(0)))
			.isEqualTo(refused(FleetReply.Reason.NO_SUCH_QUEUE));
		Truth.assertThat(this.state.job("a")).isEmpty();
	}

	/**
	 * Guards against a task that runs once more than permitted: its attempts are limited
	 * while the configuration does not have its queue.
	 */
	@Test
	void theAttemptsOfATaskAreLimitedWhileItsQueueIsRemoved() {
		submit("/jobs/a");
		fail(1);
		configure(queue("second", "/others/", "other"));
		fail(2);
		Truth.assertThat(plannedRunners()).isEmpty();
		configure(queue("first", "/jobs/", "pool"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.FAILED));
		Truth.assertThat(plannedRunners()).isEmpty();
	}

	/** Guards against the same fault if the limit is lowered below the failed runs. */
	@Test
	void aJobFailsIfTheAttemptsOfItsQueueAreLoweredToTheFailedRunsOfAWaitingTask() {
		submit("/jobs/a");
		fail(1);
		configure(new BatchQueue("first", "host", "/jobs/", false, "pool", 0, 1, 3_000, 600, 1.6));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.FAILED));
		Truth.assertThat(plannedRunners()).isEmpty();
	}

	/**
	 * Guards against a run that is lost although it may still be the last permitted one.
	 */
	@Test
	void aTaskThatRunsWhenTheAttemptsAreLoweredMayComplete() {
		submit("/jobs/a");
		fail(1);
		TaskId task = new TaskId("a", 0, 0, 0);
		apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 2, RUNNER.key()))));
		configure(new BatchQueue("first", "host", "/jobs/", false, "pool", 0, 1, 3_000, 600, 1.6));
		apply(new BatchCommand.NoteEnds(RUNNER.key(), List.of(new BatchCommand.End(2, task, 2, RunOutcome.DONE, "")),
				List.of()));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.COMPLETED));
	}

	/** Guards against 200 for a second job that is dropped because of its identifier. */
	@Test
	void aJobWhoseIdentifierAnotherQueueHasIsRefused() {
		submit("/jobs/a");
		FleetCall.Submit second = new FleetCall.Submit("host", "/others/a", Optional.of("key"), JOB);
		Truth.assertThat(this.rules.decide(second, this.state, JobAdmission.ALWAYS))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.INVALID)));
		FleetCall.Submit resent = new FleetCall.Submit("host", "/jobs/a", Optional.of("key"), JOB);
		Truth.assertThat(this.rules.decide(resent, this.state, JobAdmission.ALWAYS))
			.isEqualTo(new CallDecision.Answer(new FleetReply.Accepted()));
	}

	@Test
	void ofTwoJobsWithOneIdentifierThatAreCommittedTogetherOneIsRefused() {
		CallDecision.Commit first = (CallDecision.Commit) this.rules
			.decide(new FleetCall.Submit("host", "/jobs/a", Optional.of("key"), JOB), this.state, JobAdmission.ALWAYS);
		CallDecision.Commit second = (CallDecision.Commit) this.rules.decide(
				new FleetCall.Submit("host", "/others/a", Optional.of("key"), JOB), this.state, JobAdmission.ALWAYS);
		List<BatchCommand> commands = List.of(first.command(), first.command(), second.command());
		List<CommandResult> results = this.state.apply(new CommandGroup(1_000, commands));
		Truth.assertThat(this.rules.reply(first.command(), results.get(0))).isEqualTo(new FleetReply.Accepted());
		Truth.assertThat(this.rules.reply(first.command(), results.get(1))).isEqualTo(new FleetReply.Accepted());
		Truth.assertThat(this.rules.reply(second.command(), results.get(2)))
			.isEqualTo(refused(FleetReply.Reason.INVALID));
	}

	/**
	 * Guards against an accepted job that nobody can end, because the configuration has
	 * no queue for it. A success is not permitted there.
	 */
	@Test
	void aJobWhoseQueueIsRemovedCanBeCancelledByItsWorkspace() {
		submit("/jobs/a");
		configure(queue("second", "/others/", "other"));
		CallDecision.Commit decided = (CallDecision.Commit) decideCancel("/jobs/a", Optional.of("key"));
		Truth.assertThat(decided.replyTo(new FleetReply.Accepted())).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
		apply(decided.command());
		Truth.assertThat(plannedRunners()).isEmpty();
		Truth.assertThat(decideCancel("/jobs/a", Optional.of("key")))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.NO_SUCH_JOB)));
		configure(queue("first", "/jobs/", "pool"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.CANCELLED));
	}

	/** Guards against the same fault on a member that has restored a snapshot. */
	@Test
	void aJobWhoseQueueIsRemovedCanBeCancelledAfterASnapshot() {
		submit("/jobs/a");
		configure(queue("second", "/others/", "other"));
		restart();
		Truth.assertThat(decideCancel("/jobs/a", Optional.of("key"))).isInstanceOf(CallDecision.Commit.class);
	}

	@Test
	void aCancellingAtARemovedQueueIsRefusedWithoutTheKeyOfTheJob() {
		submit("/jobs/a");
		configure(queue("second", "/others/", "other"));
		Truth.assertThat(decideCancel("/jobs/a", Optional.empty()))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.NO_SUCH_QUEUE)));
		Truth.assertThat(decideCancel("/jobs/a", Optional.of("withdrawn")))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.NO_SUCH_QUEUE)));
		Truth.assertThat(decideCancel("/jobs/unknown", Optional.of("key")))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.NO_SUCH_QUEUE)));
	}

	/** Guards against jobs without an owner that nobody can end. */
	@Test
	void aJobSubmittedWithoutAKeyCanBeCancelledAfterItsQueueIsClosedOrRemoved() {
		configure(openQueue("/jobs/"));
		submitWithoutKey("/jobs/a");
		configure(queue("first", "/jobs/", "pool"));
		CallDecision.Commit closed = (CallDecision.Commit) decideCancel("/jobs/a", Optional.empty());
		Truth.assertThat(closed.reply()).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
		configure(queue("second", "/others/", "other"));
		CallDecision.Commit removed = (CallDecision.Commit) decideCancel("/jobs/a", Optional.empty());
		Truth.assertThat(removed.reply()).isEqualTo(refused(FleetReply.Reason.NO_SUCH_JOB));
	}

	/** Guards against a withdrawn key that still has an effect. */
	@Test
	void aWithdrawnKeyCancelsNothing() {
		submit("/jobs/a");
		Truth.assertThat(decideCancel("/jobs/a", Optional.of("withdrawn")))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.KEY_REFUSED)));
		configure(openQueue("/jobs/"));
		submitWithoutKey("/jobs/b");
		configure(queue("first", "/jobs/", "pool"));
		Truth.assertThat(decideCancel("/jobs/b", Optional.of("withdrawn")))
			.isEqualTo(new CallDecision.Answer(refused(FleetReply.Reason.KEY_REFUSED)));
	}

	@Test
	void aCancellingAtAQueueThatIsStillThereIsAccepted() {
		submit("/jobs/a");
		CallDecision.Commit decided = (CallDecision.Commit) decideCancel("/jobs/a", Optional.of("key"));
		Truth.assertThat(decided.reply()).isEqualTo(new FleetReply.Accepted());
	}

	/** Jobs of earlier versions were stored with the name of their queue only. */
	@Test
	void aJobOfAnEarlierVersionTakesTheAddressOfTheQueueThatHasItsName() {
		apply(new BatchCommand.SubmitJob("a", "first", "team", JOB, Optional.empty()));
		configure(queue("renamed", "/jobs/", "pool"), queue("first", "/others/", "other"));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(plannedRunners()).containsExactly("r1");
	}

	@Test
	void aJobOfAnEarlierVersionThatHadLostItsQueueIsFoundAndGoesOnOnceTheNameReturns() {
		apply(new BatchCommand.SubmitJob("a", "lost", "team", JOB, Optional.empty()));
		Truth.assertThat(look("/jobs/a")).isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
		Truth.assertThat(plannedRunners()).isEmpty();
		restart();
		configure(queue("first", "/jobs/", "pool"), queue("lost", "/others/", "other"));
		Truth.assertThat(plannedRunners()).containsExactly("r2");
	}

	private static BatchQueue queue(String name, String pathPrefix, String pool) {
		return new BatchQueue(name, "host", pathPrefix, false, pool, 0, 2, 3_000, 600, 1.6);
	}

	private void configure(BatchQueue... queues) {
		this.version++;
		FleetConfiguration configuration = new FleetConfiguration(this.version, List.of(queues),
				List.of(new BatchPool("pool", false, false), new BatchPool("other", false, false)),
				List.of(new Workspace("team", Set.of("key"), 1, Resources.NONE)), Payload.ofText("{}"));
		configuration.requireConsistent();
		apply(new BatchCommand.SetConfiguration(configuration));
	}

	private void submit(String path) {
		commit(new FleetCall.Submit("host", path, Optional.of("key"), JOB));
	}

	private void cancel(String path) {
		commit(new FleetCall.Cancel("host", path, Optional.of("key")));
	}

	private static BatchQueue openQueue(String pathPrefix) {
		return new BatchQueue("open", "host", pathPrefix, true, "pool", 0, 2, 3_000, 600, 1.6);
	}

	private void submitWithoutKey(String path) {
		commit(new FleetCall.Submit("host", path, Optional.empty(), JOB));
	}

	private CallDecision decideCancel(String path, Optional<String> key) {
		return this.rules.decide(new FleetCall.Cancel("host", path, key), this.state, JobAdmission.ALWAYS);
	}

	private void commit(FleetCall.CallerCall call) {
		apply(((CallDecision.Commit) this.rules.decide(call, this.state, JobAdmission.ALWAYS)).command());
	}

	private FleetReply look(String path) {
		CallDecision decision = this.rules.decide(new FleetCall.Look("host", path, Optional.of("key")), this.state,
				JobAdmission.ALWAYS);
		return ((CallDecision.Answer) decision).reply();
	}

	private static FleetReply refused(FleetReply.Reason reason) {
		return new FleetReply.Refused(reason, Optional.empty());
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(1_000, List.of(command)));
	}

	private void restart() {
		this.state = BatchState.restore(this.state.snapshot());
	}

	private void fail(int run) {
		TaskId task = new TaskId("a", 0, 0, 0);
		apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, run, RUNNER.key()))));
		BatchCommand.End failed = new BatchCommand.End(run, task, run, RunOutcome.FAILED, "");
		apply(new BatchCommand.NoteEnds(RUNNER.key(), List.of(failed), List.of()));
	}

	private List<String> plannedRunners() {
		Plan plan = new TaskPlanner(new DurationEstimator(), 1_700).plan(this.state, List.copyOf(this.state.runners()),
				Set.of(), (runner) -> RunnerReliability.SOUND, 1_000);
		return plan.assignments().stream().map((assignment) -> assignment.runner().id()).toList();
	}

}
