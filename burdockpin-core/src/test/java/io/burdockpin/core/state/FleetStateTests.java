package io.burdockpin.core.state;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import org.junit.jupiter.api.Test;

/** Tests single rules of the state machine that random commands rarely exercise. */
class FleetStateTests {

	private static final long HOUR_MILLIS = 3600_000;

	private static final TeamName TEAM = new TeamName("payroll");

	private static final PoolName POOL = new PoolName("office");

	private static final JobId JOB = new JobId("j-1");

	private static final Holder HOLDER = new Holder(new HostName("entry-1"), 1);

	private final FleetState state = FleetState.empty();

	private long nowMillis = 1_765_000_000_000L;

	FleetStateTests() {
		accept(new ConfigurationCommand.CreatePool(POOL, new AvailabilityBudget(50, 2, 2), false));
		accept(new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 2, 0)));
		for (int number = 1; number <= 4; number++) {
			accept(new ConfigurationCommand.AddHost(new HostSpec(host(number), new DataCentre("dc-1"),
					new Rack("rack-" + number), new Resources(1000, 1000, 0)), POOL));
		}
	}

	@Test
	void ofTwoChangesWithTheSameExpectedVersionExactlyOneIsAccepted() {
		long version = this.state.teams().get(0).version();
		TeamSpec changed = new TeamSpec(TEAM, 5, 2, 0);
		Truth.assertThat(propose("a", OptionalLong.of(version), new ConfigurationCommand.UpdateTeam(changed)))
			.isEqualTo(new CommandResult.Accepted(this.state.index()));
		rejected(ErrorCode.VERSION_CONFLICT,
				propose("b", OptionalLong.of(version), new ConfigurationCommand.UpdateTeam(changed)));
	}

	@Test
	void aResendGetsTheFirstResultForADayAndAnotherCommandWithTheSameIdentifierIsRefused() {
		Command first = new ConfigurationCommand.CreateTeam(new TeamSpec(new TeamName("booking"), 1, 2, 0));
		CommandResult result = propose("a", OptionalLong.empty(), first);
		this.nowMillis += 24 * HOUR_MILLIS;
		Truth.assertThat(propose("a", OptionalLong.empty(), first)).isEqualTo(result);
		rejected(ErrorCode.ALREADY_EXISTS,
				propose("a", OptionalLong.empty(), new ConfigurationCommand.DeleteTeam(new TeamName("booking"))));
		this.nowMillis += 1;
		rejected(ErrorCode.ALREADY_EXISTS, propose("a", OptionalLong.empty(), first));
	}

	@Test
	void onlyTheNewestTenThousandResultsAreKept() {
		for (int number = 0; number <= 10_001; number++) {
			propose("r-" + number, OptionalLong.empty(), new ConfigurationCommand.DeletePool(new PoolName("none")));
		}
		Truth.assertThat(this.state.snapshot().dedups().size()).isAtMost(10_001);
		Truth.assertThat(this.state.snapshot().dedups().get(0).requestId()).isEqualTo(new RequestId("r-1"));
	}

	@Test
	void aWithdrawnKeyCanNeverBeGrantedAgain() {
		KeyHash key = KeyHash.of("secret");
		accept(new ConfigurationCommand.GrantKey(TEAM, key, "laptop"));
		accept(new ConfigurationCommand.WithdrawKey(key));
		rejected(ErrorCode.KEY_WITHDRAWN, apply(new ConfigurationCommand.GrantKey(TEAM, key, "laptop")));
	}

	@Test
	void nothingIsGrantedAboveALoweredLimitUntilUseHasFallen() {
		accept(new TokenCommand.RegisterHolder(HOLDER, new DataCentre("dc-1")));
		accept(new TokenCommand.GrantTokens(TEAM, HOLDER, 1, 0, 0));
		accept(new JobCommand.SubmitJob(JOB, job(false)));
		accept(new JobCommand.PlaceJob(JOB, host(1), 1));
		accept(new ConfigurationCommand.UpdateTeam(new TeamSpec(TEAM, 1, 1, 0)));
		long version = this.state.tokens().get(0).version();
		rejected(ErrorCode.TEAM_LIMIT_REACHED, apply(new TokenCommand.GrantTokens(TEAM, HOLDER, 2, 0, version)));
		accept(new JobCommand.FinishJob(JOB, 1, true, Payload.EMPTY));
		rejected(ErrorCode.TEAM_LIMIT_REACHED, apply(new TokenCommand.GrantTokens(TEAM, HOLDER, 2, 0, version)));
	}

	@Test
	void aLateGrantDoesNotUndoANewerOne() {
		accept(new TokenCommand.RegisterHolder(HOLDER, new DataCentre("dc-1")));
		accept(new TokenCommand.GrantTokens(TEAM, HOLDER, 1, 0, 0));
		long version = this.state.tokens().get(0).version();
		accept(new TokenCommand.GrantTokens(TEAM, HOLDER, 2, 0, version));
		rejected(ErrorCode.VERSION_CONFLICT, apply(new TokenCommand.GrantTokens(TEAM, HOLDER, 0, 0, version)));
	}

	@Test
	void aResentClaimIsTheSameClaimUntilItIsFinished() {
		RequestId id = new RequestId(this.nowMillis / 1000 + "-again");
		ClaimCommand claim = new ClaimCommand.ClaimRequest(TEAM, id, HOLDER, OptionalLong.of(5));
		accept(claim);
		accept(claim);
		rejected(ErrorCode.ALREADY_CLAIMED, apply(new ClaimCommand.ClaimRequest(TEAM, id, HOLDER, OptionalLong.of(6))));
		rejected(ErrorCode.ALREADY_CLAIMED, apply(new ClaimCommand.ReleaseClaim(TEAM, id, HOLDER, OptionalLong.of(6))));
		accept(new ClaimCommand.FinishClaim(TEAM, id, HOLDER, 200, "", false, Payload.EMPTY));
		rejected(ErrorCode.ALREADY_RAN, apply(claim));
	}

	@Test
	void aClaimIsAcceptedOnceWithinItsWindowAndNeverAgainAfterItsRemoval() {
		RequestId id = new RequestId(this.nowMillis / 1000 + "-x");
		ClaimCommand claim = new ClaimCommand.ClaimRequest(TEAM, id, HOLDER);
		accept(claim);
		rejected(ErrorCode.ALREADY_CLAIMED, apply(claim));
		accept(new ClaimCommand.FinishClaim(TEAM, id, HOLDER, 200, "text/plain", true, Payload.of(new byte[4096])));
		rejected(ErrorCode.ALREADY_RAN, apply(claim));
		this.nowMillis += HOUR_MILLIS + 600_000;
		rejected(ErrorCode.REQUEST_ID_REJECTED, apply(claim));
		Truth.assertThat(this.state.claims()).hasSize(1);
		this.nowMillis += 1;
		rejected(ErrorCode.REQUEST_ID_REJECTED, apply(claim));
		Truth.assertThat(this.state.claims()).isEmpty();
	}

	@Test
	void anAcknowledgedResultExpiresADayAfterTheEndOfItsJob() {
		JobId younger = new JobId("j-2");
		endJob(JOB);
		this.nowMillis += HOUR_MILLIS;
		endJob(younger);
		accept(new JobCommand.AcknowledgeResult(JOB, TEAM));
		this.nowMillis += 23 * HOUR_MILLIS + 1;
		accept(new ConfigurationCommand.CreatePool(new PoolName("other"), AvailabilityBudget.DEFAULT, false));
		Truth.assertThat(this.state.jobs().stream().map(JobRecord::id).toList()).containsExactly(younger);
	}

	@Test
	void aResentSubmissionDoesNotStartAnEndedJobAgain() {
		endJob(JOB);
		accept(new JobCommand.AcknowledgeResult(JOB, TEAM));
		accept(new JobCommand.SubmitJob(JOB, job(false)));
		Truth.assertThat(this.state.job(JOB).map(JobRecord::state)).isEqualTo(Optional.of(JobState.SUCCEEDED));
	}

	@Test
	void aLateReportReplacesAnUnknownOutcome() {
		accept(new JobCommand.SubmitJob(JOB, job(false)));
		accept(new JobCommand.PlaceJob(JOB, host(1), 1));
		accept(new JobCommand.InterruptJob(JOB, 1, false, Payload.EMPTY));
		Truth.assertThat(this.state.job(JOB).map(JobRecord::state)).isEqualTo(Optional.of(JobState.OUTCOME_UNKNOWN));
		accept(new JobCommand.FinishJob(JOB, 1, true, Payload.ofText("plan")));
		Truth.assertThat(this.state.job(JOB).map(JobRecord::state)).isEqualTo(Optional.of(JobState.SUCCEEDED));
	}

	@Test
	void hostsThatFailedOnTheirOwnCountAgainstTheBudgetOfADrain() {
		CampaignName campaign = new CampaignName("december");
		accept(new MaintenanceCommand.StartCampaign(new CampaignSpec(campaign, List.of(POOL), 4, 0, 0, 2)));
		accept(new ConfigurationCommand.SetHostState(host(1), HostState.LOST, ChangeCause.WORKER_REPORT));
		accept(new MaintenanceCommand.StartDrain(campaign, host(2), 1, 0));
		rejected(ErrorCode.BUDGET_EXCEEDED, apply(new MaintenanceCommand.StartDrain(campaign, host(3), 1, 0)));
		rejected(ErrorCode.BUDGET_EXCEEDED,
				apply(new ConfigurationCommand.SetHostState(host(3), HostState.DRAINING, ChangeCause.OPERATOR)));
	}

	/**
	 * Guards against added hosts that count in the budget of their pool before their
	 * workers have reported. Counted as in service they would loosen the budget, counted
	 * as out of service they would use it up.
	 */
	@Test
	void onlyAReportMakesAnAwaitedHostCountInTheBudgetOfADrain() {
		accept(new ConfigurationCommand.UpdatePool(POOL, new AvailabilityBudget(75, 9, 9), false));
		for (int number = 5; number <= 8; number++) {
			accept(new ConfigurationCommand.AddHost(new HostSpec(host(number), new DataCentre("dc-1"),
					new Rack("rack-" + number), new Resources(1000, 1000, 0)), POOL)
				.awaited());
		}
		accept(drain(1));
		rejected(ErrorCode.BUDGET_EXCEEDED, apply(drain(2)));
		Command byOperator = new ConfigurationCommand.SetHostState(host(5), HostState.RETURNING, ChangeCause.OPERATOR);
		rejected(ErrorCode.STATE_CONFLICT, apply(byOperator));
		for (int number = 5; number <= 8; number++) {
			accept(new ConfigurationCommand.SetHostState(host(number), HostState.RETURNING, ChangeCause.WORKER_REPORT));
			accept(new ConfigurationCommand.SetHostState(host(number), HostState.IN_SERVICE,
					ChangeCause.WORKER_REPORT));
		}
		accept(drain(2));
		rejected(ErrorCode.BUDGET_EXCEEDED, apply(drain(3)));
	}

	@Test
	void aDrainThatLeavesATeamTooLittleCapacityIsRejected() {
		accept(new ConfigurationCommand.UpdateTeam(new TeamSpec(TEAM, 1, 2, 4000)));
		Command drain = new ConfigurationCommand.SetHostState(host(1), HostState.DRAINING, ChangeCause.OPERATOR);
		accept(new JobCommand.SubmitJob(JOB, job(true)));
		rejected(ErrorCode.BUDGET_EXCEEDED, apply(drain));
		accept(new ConfigurationCommand.UpdateTeam(new TeamSpec(TEAM, 1, 2, 3000)));
		accept(drain);
	}

	@Test
	void aResentReportOfTheEndOfAJobGetsTheFirstResult() {
		accept(new JobCommand.SubmitJob(JOB, job(false)));
		accept(new JobCommand.PlaceJob(JOB, host(1), 1));
		Command end = new JobCommand.InterruptJob(JOB, 1, false, Payload.EMPTY);
		CommandResult first = propose("end", OptionalLong.empty(), end);
		Truth.assertThat(first.isAccepted()).isTrue();
		Truth.assertThat(propose("end", OptionalLong.empty(), end)).isEqualTo(first);
	}

	@Test
	void aLentHostKeepsItsHomePoolThroughADrainAndASnapshotUntilItReturns() {
		PoolName spare = new PoolName("spare");
		HostName lent = host(9);
		accept(new ConfigurationCommand.CreatePool(spare, new AvailabilityBudget(0, 9, 9), true));
		accept(new ConfigurationCommand.AddHost(
				new HostSpec(lent, new DataCentre("dc-1"), new Rack("rack-9"), new Resources(1000, 1000, 0)), spare));
		rejected(ErrorCode.STATE_CONFLICT, apply(new ConfigurationCommand.LendHost(host(1), spare)));
		accept(new ConfigurationCommand.LendHost(lent, POOL));
		rejected(ErrorCode.STILL_IN_USE, apply(new ConfigurationCommand.DeletePool(spare)));
		accept(new ConfigurationCommand.SetHostState(lent, HostState.DRAINING, ChangeCause.OPERATOR));
		rejected(ErrorCode.STATE_CONFLICT, apply(new ConfigurationCommand.ReturnHost(lent)));
		accept(new ConfigurationCommand.SetHostState(lent, HostState.IN_SERVICE, ChangeCause.OPERATOR));
		FleetState restored = FleetState.restore(this.state.snapshot());
		restored.apply(restored.index() + 1, new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(),
				new ConfigurationCommand.ReturnHost(lent)));
		HostRecord returned = restored.hosts().stream().filter((host) -> host.name().equals(lent)).findFirst().get();
		Truth.assertThat(returned.pool()).isEqualTo(spare);
		Truth.assertThat(returned.homePool()).isEqualTo(Optional.empty());
	}

	@Test
	void aLentHostThatAnOperatorMovesIsNoLongerLent() {
		PoolName other = new PoolName("other");
		accept(new ConfigurationCommand.UpdatePool(POOL, new AvailabilityBudget(50, 2, 2), true));
		accept(new ConfigurationCommand.CreatePool(other, AvailabilityBudget.DEFAULT, false));
		accept(new ConfigurationCommand.CreatePool(new PoolName("third"), AvailabilityBudget.DEFAULT, false));
		accept(new ConfigurationCommand.LendHost(host(1), other));
		accept(new ConfigurationCommand.MoveHost(host(1), new PoolName("third"), true));
		rejected(ErrorCode.STATE_CONFLICT, apply(new ConfigurationCommand.ReturnHost(host(1))));
	}

	private void endJob(JobId job) {
		accept(new JobCommand.SubmitJob(job, job(false)));
		accept(new JobCommand.PlaceJob(job, host(1), 1));
		accept(new JobCommand.FinishJob(job, 1, true, Payload.ofText("result")));
	}

	private static JobSpec job(boolean repeatable) {
		return new JobSpec(TEAM, POOL, new Resources(1, 1, 0), 1, false, repeatable, Payload.EMPTY);
	}

	private static Command drain(int number) {
		return new ConfigurationCommand.SetHostState(host(number), HostState.DRAINING, ChangeCause.OPERATOR);
	}

	private static HostName host(int number) {
		return new HostName("worker-" + number);
	}

	private void accept(Command command) {
		CommandResult result = apply(command);
		Truth.assertWithMessage("%s: %s", command, result).that(result.isAccepted()).isTrue();
	}

	private CommandResult apply(Command command) {
		return this.state.apply(this.state.index() + 1,
				new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(), command));
	}

	private CommandResult propose(String requestId, OptionalLong expectedVersion, Command command) {
		return this.state.apply(this.state.index() + 1,
				new Proposal(this.nowMillis, Optional.of(new RequestId(requestId)), expectedVersion, command));
	}

	private static void rejected(ErrorCode code, CommandResult result) {
		Truth.assertThat(result).isInstanceOf(CommandResult.Rejected.class);
		Truth.assertThat(((CommandResult.Rejected) result).code()).isEqualTo(code);
	}

}
