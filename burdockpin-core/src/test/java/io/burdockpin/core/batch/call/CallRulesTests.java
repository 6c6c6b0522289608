package io.burdockpin.core.batch.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

class CallRulesTests {

	private final CallRules rules = new CallRules();

	private final BatchState state = new BatchState();

	@Test
	void callsBeforeTheFirstConfigurationAreRefusedWithARetryDelay() {
		FleetReply.Refused refused = (FleetReply.Refused) answer(look("/queue-pool/x", "key"));
		Truth.assertThat(refused.reason()).isEqualTo(FleetReply.Reason.NO_CONFIGURATION);
		Truth.assertThat(refused.retryAfterMillis()).isPresent();
	}

	@Test
	void unknownQueuesKeysAndJobsAreRefusedForDifferentReasons() {
		configure(1, "pool");
		Truth.assertThat(reason(look("/nowhere/x", "key"))).isEqualTo(FleetReply.Reason.NO_SUCH_QUEUE);
		Truth.assertThat(reason(look("/queue-pool/x", "other"))).isEqualTo(FleetReply.Reason.KEY_REFUSED);
		Truth.assertThat(reason(look("/queue-pool/x", "key"))).isEqualTo(FleetReply.Reason.NO_SUCH_JOB);
	}

	@Test
	void theLongestPrefixDecidesAndAPathWithoutAJobAsksForTheQueue() {
		configure(1, "pool");
		Truth.assertThat(answer(look("/queue-pool/", "key"))).isEqualTo(new FleetReply.QueueStatus(0));
	}

	@Test
	void aJobIsCommittedOnceAndThenAccepted() {
		configure(1, "pool");
		FleetCall.Submit submit = new FleetCall.Submit("host", "/queue-pool/job", Optional.of("key"),
				BatchFixtures.job(BatchFixtures.step(1)));
		CallDecision.Commit commit = (CallDecision.Commit) this.rules.decide(submit, this.state, JobAdmission.ALWAYS);
		apply(commit.command());
		Truth.assertThat(answer(submit)).isEqualTo(new FleetReply.Accepted());
		Truth.assertThat(answer(look("/queue-pool/job", "key")))
			.isEqualTo(new FleetReply.JobStatus(BatchJobPhase.QUEUED));
	}

	/**
	 * Guards against a rejected job that is stored, and against a rejection of a job that
	 * was accepted before.
	 */
	@Test
	void anOverloadRejectsNewJobsWithARetryDelayAndAcknowledgesKnownOnes() {
		configure(1, "pool");
		FleetCall.Submit known = submitOf("known");
		apply(((CallDecision.Commit) this.rules.decide(known, this.state, JobAdmission.ALWAYS)).command());
		JobAdmission overloaded = (job, queue, workspace, spec) -> Optional.of(4_000);
		Truth.assertThat(this.rules.decide(submitOf("new"), this.state, overloaded))
			.isEqualTo(
					new CallDecision.Answer(new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.of(4_000))));
		Truth.assertThat(this.rules.decide(known, this.state, overloaded))
			.isEqualTo(new CallDecision.Answer(new FleetReply.Accepted()));
	}

	private static FleetCall.Submit submitOf(String job) {
		return new FleetCall.Submit("host", "/queue-pool/" + job, Optional.of("key"),
				BatchFixtures.job(BatchFixtures.step(1)));
	}

	/** Guards against reading the jobs of one workspace with a key of another. */
	@Test
	void aJobOfAnotherWorkspaceIsNotKnown() {
		configure(1, "pool");
		apply(BatchFixtures.submit("job", "queue-pool", "another", BatchFixtures.job(BatchFixtures.step(1))));
		Truth.assertThat(reason(look("/queue-pool/job", "key"))).isEqualTo(FleetReply.Reason.NO_SUCH_JOB);
	}

	/**
	 * Guards against accepted jobs that their callers no longer find because another
	 * configuration opens their queue or closes it.
	 */
	@Test
	void aJobIsFoundByItsCallersWhenItsQueueIsOpenedOrClosed() {
		configureOpen(1, false);
		apply(BatchFixtures.submit("owned", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		configureOpen(2, true);
		apply(BatchFixtures.submit("free", "queue-pool", "", BatchFixtures.job(BatchFixtures.step(1))));
		FleetReply queued = new FleetReply.JobStatus(BatchJobPhase.QUEUED);
		FleetCall.Look withoutKey = new FleetCall.Look("host", "/queue-pool/owned", Optional.empty());
		Truth.assertThat(answer(withoutKey)).isEqualTo(queued);
		Truth.assertThat(answer(look("/queue-pool/free", "key"))).isEqualTo(queued);
		configureOpen(3, false);
		Truth.assertThat(answer(look("/queue-pool/owned", "key"))).isEqualTo(queued);
		Truth.assertThat(answer(look("/queue-pool/free", "key"))).isEqualTo(queued);
		Truth.assertThat(reason(withoutKey)).isEqualTo(FleetReply.Reason.KEY_REFUSED);
	}

	/** Guards against a job that a second workspace takes for its own. */
	@Test
	void aJobWhoseIdentifierAnotherWorkspaceHasIsRefused() {
		configure(1, "pool");
		apply(BatchFixtures.submit("job", "queue-pool", "another", BatchFixtures.job(BatchFixtures.step(1))));
		FleetCall.Submit submit = new FleetCall.Submit("host", "/queue-pool/job", Optional.of("key"),
				BatchFixtures.job(BatchFixtures.step(1)));
		Truth.assertThat(reason(submit)).isEqualTo(FleetReply.Reason.INVALID);
	}

	/** A name does not identify a queue, so the pages let two queues share it. */
	@Test
	void aConfigurationWhoseQueuesShareANameIsValid() {
		FleetConfiguration shared = withQueues(BatchFixtures.queue("queue", "pool", 1),
				new BatchQueue("queue", "host", "/other/", false, "pool", 0, 1, 3_000, 600, 1.6));
		Truth.assertThat(this.rules.decide(new FleetCall.PutConfiguration(shared), this.state))
			.isInstanceOf(CallDecision.Commit.class);
	}

	/** Guards against two queues for one call, whose host is compared without case. */
	@Test
	void aConfigurationWhoseQueuesDifferInTheCaseOfTheirHostsOnlyIsInvalid() {
		FleetConfiguration ambiguous = withQueues(BatchFixtures.queue("queue", "pool", 1),
				new BatchQueue("another", "HOST", "/queue/", false, "pool", 0, 1, 3_000, 600, 1.6));
		Truth.assertThat(this.rules.decide(new FleetCall.PutConfiguration(ambiguous), this.state))
			.isEqualTo(new CallDecision.Answer(new FleetReply.Refused(FleetReply.Reason.INVALID, Optional.empty())));
	}

	@Test
	void aConfigurationThatIsNotNewerIsAcceptedWithoutAChange() {
		configure(7, "pool");
		FleetConfiguration older = BatchFixtures.configuration(7, Resources.NONE, "other");
		Truth.assertThat(this.rules.decide(new FleetCall.PutConfiguration(older), this.state))
			.isEqualTo(new CallDecision.Answer(new FleetReply.Accepted()));
	}

	@Test
	void aConfigurationWhoseQueueNamesNoPoolIsInvalid() {
		FleetConfiguration broken = new FleetConfiguration(9, List.of(BatchFixtures.queue("queue", "nowhere", 1)),
				List.of(), List.of(), Payload.EMPTY);
		CallDecision.Answer answer = (CallDecision.Answer) this.rules.decide(new FleetCall.PutConfiguration(broken),
				this.state);
		Truth.assertThat(((FleetReply.Refused) answer.reply()).reason()).isEqualTo(FleetReply.Reason.INVALID);
	}

	private static FleetConfiguration withQueues(BatchQueue... queues) {
		return new FleetConfiguration(9, List.of(queues), List.of(new BatchPool("pool", false, false)), List.of(),
				Payload.EMPTY);
	}

	private void configureOpen(long version, boolean open) {
		BatchQueue queue = new BatchQueue("queue", "host", "/queue-pool/", open, "pool", 0, 2, 3_000, 600, 1.6);
		apply(new BatchCommand.SetConfiguration(
				new FleetConfiguration(version, List.of(queue), List.of(new BatchPool("pool", false, false)),
						List.of(new Workspace("team", Set.of("key"), 1, Resources.NONE)), Payload.EMPTY)));
	}

	private void configure(long version, String pool) {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(version, Resources.NONE, pool)));
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(1_000, List.of(command)));
	}

	private static FleetCall.Look look(String path, String key) {
		return new FleetCall.Look("host", path, Optional.of(key));
	}

	private FleetReply answer(FleetCall.CallerCall call) {
		return ((CallDecision.Answer) this.rules.decide(call, this.state, JobAdmission.ALWAYS)).reply();
	}

	private FleetReply.Reason reason(FleetCall.CallerCall call) {
		return ((FleetReply.Refused) answer(call)).reason();
	}

}
