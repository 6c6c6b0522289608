package io.burdockpin.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

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
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;

/**
 * Generates random proposals over a small set of names, so that commands affect the same
 * records. Values such as lease epochs are mostly taken from the state, so that many
 * commands are accepted.
 */
final class RandomProposals {

	private static final long START_MILLIS = 1_765_000_000_000L;

	private final RandomGenerator random;

	private final FleetState state;

	private final List<Proposal> resendable = new ArrayList<>();

	private long timeMillis = START_MILLIS;

	private final List<Supplier<Command>> generators = List.of(
			() -> new ConfigurationCommand.CreatePool(pool(), budget(), randomBoolean()),
			() -> new ConfigurationCommand.UpdatePool(pool(), budget(), randomBoolean()),
			() -> new ConfigurationCommand.DeletePool(pool()),
			() -> new ConfigurationCommand.AddHost(hostSpec(), pool()),
			() -> new ConfigurationCommand.AddHost(hostSpec(), pool()).awaited(),
			() -> new ConfigurationCommand.AddHost(hostSpec(), pool()),
			() -> new ConfigurationCommand.MoveHost(host(), pool(), randomBoolean()),
			() -> new ConfigurationCommand.LendHost(host(), pool()), this::returnLent, this::reportAwaited,
			() -> new ConfigurationCommand.RemoveHost(host()),
			() -> new ConfigurationCommand.SetHostState(host(), hostState(), cause()),
			() -> new ConfigurationCommand.SetHostState(host(), hostState(), cause()),
			() -> new ConfigurationCommand.SetHostState(host(), HostState.IN_SERVICE, cause()),
			() -> new ConfigurationCommand.CreateTeam(teamSpec()),
			() -> new ConfigurationCommand.UpdateTeam(teamSpec()), () -> new ConfigurationCommand.DeleteTeam(team()),
			() -> new ConfigurationCommand.GrantKey(team(), key(), "label"),
			() -> new ConfigurationCommand.WithdrawKey(key()),
			() -> new ConfigurationCommand.CreateQueue(queue(), randomBoolean()),
			() -> new ConfigurationCommand.UpdateQueue(queue(), randomBoolean()),
			() -> new ConfigurationCommand.DeleteQueue(queue()),
			() -> new TokenCommand.RegisterHolder(holder(), new DataCentre("dc-1")), this::grant, this::grant,
			this::grant, () -> new TokenCommand.ReleaseHolder(holder()), () -> new TokenCommand.ForgetHost(entryHost()),
			() -> new ClaimCommand.ClaimRequest(team(), claimId(), holder(), claimNumber()),
			() -> new ClaimCommand.ClaimRequest(team(), claimId(), holder()),
			() -> commandForClaim((claim) -> new ClaimCommand.FinishClaim(claim.team(), claim.requestId(),
					claim.holder(), 200, "text/plain", randomBoolean(), Payload.ofText("x".repeat(number(5000))))),
			() -> commandForClaim((claim) -> new ClaimCommand.ReleaseClaim(claim.team(), claim.requestId(), holder(),
					claim.number())),
			() -> new JobCommand.SubmitJob(job(), jobSpec()), () -> new JobCommand.SubmitJob(job(), jobSpec()),
			this::advanceDrained, this::advanceDrained, this::advanceDrained, this::place, this::place, this::place,
			() -> new JobCommand.ConfirmStart(job(), epoch()), this::confirmStart, this::confirmStart, this::finish,
			this::interrupt, this::interrupt, () -> new JobCommand.CancelJob(job(), team()),
			() -> new JobCommand.ParkJob(job(), "too large"), () -> new JobCommand.UnparkJob(job()),
			() -> new JobCommand.AcknowledgeResult(job(), team()),
			() -> new MaintenanceCommand.StartCampaign(campaignSpec()),
			() -> new MaintenanceCommand.PauseCampaign(campaign(), "paused"),
			() -> new MaintenanceCommand.ResumeCampaign(campaign()),
			() -> new MaintenanceCommand.CancelCampaign(campaign()),
			() -> new MaintenanceCommand.StartDrain(campaign(), host(), 1 + number(3), now()),
			() -> new MaintenanceCommand.StartDrain(campaign(), host(), 3, now()),
			() -> new MaintenanceCommand.CompleteHost(campaign(), host()),
			() -> new MaintenanceCommand.CompleteCampaign(campaign()));

	RandomProposals(RandomGenerator random, FleetState state) {
		this.random = random;
		this.state = state;
	}

	Proposal next() {
		// A new leader may have a slower clock, so the time of a proposal may go back.
		this.timeMillis += (this.random.nextInt(20) != 0) ? this.random.nextInt(60_000) : -5_000;
		if (this.random.nextInt(200) == 0) {
			this.timeMillis += 10L * 3600 * 1000;
		}
		if (this.random.nextInt(12) == 0 && !this.resendable.isEmpty()) {
			Proposal resent = randomElement(this.resendable);
			return new Proposal(this.timeMillis, resent.requestId(), resent.expectedVersion(), resent.command());
		}
		Command command = randomElement(this.generators).get();
		boolean versioned = command instanceof ConfigurationCommand || command instanceof MaintenanceCommand;
		OptionalLong version = (versioned && this.random.nextInt(4) == 0)
				? OptionalLong.of(this.random.nextLong(this.state.index() + 2)) : OptionalLong.empty();
		Optional<RequestId> requestId = this.random.nextBoolean()
				? Optional.of(new RequestId("r-" + this.state.index())) : Optional.empty();
		Proposal proposal = new Proposal(this.timeMillis, requestId, version, command);
		requestId.ifPresent((id) -> this.resendable.add(proposal));
		return proposal;
	}

	private Command returnLent() {
		return this.state.hosts()
			.stream()
			.filter((record) -> record.homePool().isPresent())
			.findFirst()
			.map((record) -> new ConfigurationCommand.ReturnHost(record.name()))
			.orElseGet(() -> new ConfigurationCommand.ReturnHost(host()));
	}

	private Command reportAwaited() {
		HostName host = this.state.hosts()
			.stream()
			.filter((record) -> record.state() == HostState.AWAITED)
			.findFirst()
			.map(HostRecord::name)
			.orElseGet(this::host);
		return new ConfigurationCommand.SetHostState(host, HostState.RETURNING, ChangeCause.WORKER_REPORT);
	}

	private Command advanceDrained() {
		CampaignName campaign = campaign();
		return this.state.campaigns()
			.stream()
			.filter((record) -> record.name().equals(campaign))
			.flatMap((record) -> record.hostsOut().stream())
			.findFirst()
			.map((drain) -> advance(campaign, drain.host()))
			.orElseGet(() -> new MaintenanceCommand.StartCampaign(campaignSpec()));
	}

	private Command advance(CampaignName campaign, HostName host) {
		HostState current = this.state.hosts()
			.stream()
			.filter((record) -> record.name().equals(host))
			.findFirst()
			.map(HostRecord::state)
			.orElse(HostState.LOST);
		if (current == HostState.DRAINING) {
			return new ConfigurationCommand.SetHostState(host, HostState.IN_MAINTENANCE, ChangeCause.PLANNER);
		}
		return (current != HostState.RETURNING)
				? new ConfigurationCommand.SetHostState(host, HostState.RETURNING, ChangeCause.WORKER_REPORT)
				: new MaintenanceCommand.CompleteHost(campaign, host);
	}

	private Command place() {
		List<JobRecord> waiting = this.state.jobs().stream().filter((job) -> job.state() == JobState.WAITING).toList();
		if (waiting.isEmpty() || number(5) == 0) {
			return new JobCommand.PlaceJob(job(), host(), number(3));
		}
		JobRecord job = randomElement(waiting);
		HostName worker = this.state.hosts()
			.stream()
			.filter((host) -> host.pool().equals(job.spec().pool()) && host.state() == HostState.IN_SERVICE)
			.findFirst()
			.map(HostRecord::name)
			.orElseGet(this::host);
		return new JobCommand.PlaceJob(job.id(), worker, job.leaseEpoch() + number(3));
	}

	private Command grant() {
		TeamName team = team();
		Holder holder = holder();
		long version = this.state.tokens()
			.stream()
			.filter((token) -> token.team().equals(team) && token.holder().equals(holder))
			.mapToLong(TokenRecord::version)
			.sum();
		return new TokenCommand.GrantTokens(team, holder, number(5), number(3), version + number(10) / 9);
	}

	private Command confirmStart() {
		JobId job = job();
		return new JobCommand.ConfirmStart(job, currentEpoch(job));
	}

	private Command finish() {
		JobId job = job();
		return new JobCommand.FinishJob(job, currentEpoch(job), randomBoolean(), Payload.ofText("result"));
	}

	private Command interrupt() {
		JobId job = job();
		return new JobCommand.InterruptJob(job, currentEpoch(job), randomBoolean(), Payload.ofText("checkpoint"));
	}

	private Command commandForClaim(Function<ClaimRecord, Command> command) {
		List<ClaimRecord> claims = this.state.claims();
		return claims.isEmpty() ? new ClaimCommand.ClaimRequest(team(), claimId(), holder())
				: command.apply(randomElement(claims));
	}

	private long currentEpoch(JobId job) {
		return this.state.job(job).map(JobRecord::leaseEpoch).orElse(0L);
	}

	private RequestId claimId() {
		long seconds = this.timeMillis / 1000 - this.random.nextInt(5000) + 600;
		return new RequestId("%d-%d".formatted(seconds / 600 * 600, this.random.nextInt(2)));
	}

	private CampaignSpec campaignSpec() {
		return new CampaignSpec(campaign(), List.of(pool(), pool()), 1 + this.random.nextInt(3), 1000, this.timeMillis,
				2);
	}

	private JobSpec jobSpec() {
		return new JobSpec(team(), pool(), new Resources(100, 100, 0), 1000, randomBoolean(), randomBoolean(),
				Payload.ofText("input"));
	}

	private TeamSpec teamSpec() {
		return new TeamSpec(team(), 1, this.random.nextInt(12), this.random.nextInt(3) * 1000);
	}

	private HostSpec hostSpec() {
		HostName name = host();
		return new HostSpec(name, new DataCentre("dc-1"), new Rack("rack-" + name.value().charAt(1)),
				new Resources(1000, 1000, 0));
	}

	private AvailabilityBudget budget() {
		return new AvailabilityBudget(this.random.nextInt(3) * 30, this.random.nextInt(4), 1 + this.random.nextInt(3));
	}

	private PoolName pool() {
		return new PoolName("p" + this.random.nextInt(2));
	}

	private HostName host() {
		return new HostName("h%d-%d".formatted(this.random.nextInt(3), this.random.nextInt(2)));
	}

	private TeamName team() {
		return new TeamName("t" + this.random.nextInt(2));
	}

	private HostName entryHost() {
		return new HostName("e" + this.random.nextInt(3));
	}

	private Holder holder() {
		return new Holder(entryHost(), 1 + this.random.nextInt(3) + this.state.index() / 300);
	}

	private KeyHash key() {
		return KeyHash.of("key-" + this.random.nextInt(6));
	}

	private QueueName queue() {
		return new QueueName("q" + this.random.nextInt(2));
	}

	private JobId job() {
		return new JobId("j" + this.random.nextInt(10));
	}

	private CampaignName campaign() {
		return new CampaignName("c" + this.random.nextInt(2));
	}

	private HostState hostState() {
		return randomElement(List.of(HostState.values()));
	}

	private ChangeCause cause() {
		return randomElement(List.of(ChangeCause.values()));
	}

	private long epoch() {
		return this.random.nextInt(4);
	}

	private int number(int bound) {
		return this.random.nextInt(bound);
	}

	private long now() {
		return this.timeMillis;
	}

	private boolean randomBoolean() {
		return this.random.nextBoolean();
	}

	private <T> T randomElement(List<T> choices) {
		return choices.get(this.random.nextInt(choices.size()));
	}

	private OptionalLong claimNumber() {
		return OptionalLong.of(this.random.nextInt(3));
	}

}
