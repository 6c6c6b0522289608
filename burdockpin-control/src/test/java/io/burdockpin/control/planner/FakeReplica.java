package io.burdockpin.control.planner;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.TeamRecord;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Replica with one job and one host. Requests are queued at a probe until the test
 * answers them, so that the order of messages is deterministic.
 */
final class FakeReplica implements ReplicaPort {

	static final HostName WORKER = new HostName("worker-1");

	static final JobId JOB = new JobId("j-1");

	static final CampaignName CAMPAIGN = new CampaignName("kernel");

	private static final PoolName POOL = new PoolName("pool-1");

	private static final TeamName TEAM = new TeamName("team-1");

	private final TestProbe<Request> requests;

	private volatile Optional<ActorRef<ReplicaMessage.RecordsChanged>> watcher = Optional.empty();

	private boolean leader = true;

	private long term = 1;

	private List<CampaignRecord> campaigns = List.of();

	private JobRecord job = waitingJob();

	FakeReplica(TestProbe<Request> requests) {
		this.requests = requests;
	}

	@Override
	public void requestView(ActorRef<ReplicaView> replyTo) {
		this.requests.getRef().tell(new ViewRequest(replyTo));
	}

	@Override
	public void watch(ActorRef<ReplicaMessage.RecordsChanged> watcher) {
		this.watcher = Optional.of(watcher);
	}

	@Override
	public void propose(List<Command> commands, ActorRef<ProposalsEnded> replyTo) {
		this.requests.getRef().tell(new ProposalRequest(commands, replyTo));
	}

	/** Answers the next view request on the calling thread, with a view of time 0. */
	void answerView() {
		answerView(0);
	}

	/**
	 * Answers the next view request on the calling thread.
	 * @param confirmedMillis when the confirmation of the leadership was requested
	 */
	void answerView(long confirmedMillis) {
		ViewRequest request = this.requests.expectMessageClass(ViewRequest.class);
		request.replyTo()
			.tell(new ReplicaView(this.leader, this.term, confirmedMillis, 1, this.leader ? view() : FleetView.EMPTY));
	}

	/**
	 * Applies and answers the next proposal on the calling thread.
	 * @return the proposed commands
	 */
	List<Command> applyProposal() {
		ProposalRequest request = this.requests.expectMessageClass(ProposalRequest.class);
		request.commands().forEach(this::apply);
		request.replyTo().tell(new ProposalsEnded(request.commands().size(), 0));
		return request.commands();
	}

	/** Notifies the watcher of a change of the records. */
	void notifyRecordsChanged() {
		this.watcher.orElseThrow().tell(ReplicaMessage.RecordsChanged.INSTANCE);
	}

	JobState jobState() {
		return this.job.state();
	}

	void follow() {
		this.leader = false;
	}

	void leadInNextTerm() {
		this.term++;
	}

	/** Starts a campaign in the pool of the host. */
	void startCampaign() {
		CampaignSpec spec = new CampaignSpec(CAMPAIGN, List.of(POOL), 1, 30_000, 1_000_000, 2);
		this.campaigns = List.of(new CampaignRecord(spec, CampaignState.RUNNING, 0, List.of(), List.of(), "", 1, 0,
				OptionalLong.empty()));
	}

	private void apply(Command command) {
		if (command instanceof JobCommand.PlaceJob place) {
			this.job = jobWith(JobState.PLACED, Optional.of(place.worker()), place.leaseEpoch());
		}
		else if (command instanceof JobCommand.ConfirmStart start) {
			this.job = jobWith(JobState.RUNNING, this.job.worker(), start.leaseEpoch());
		}
		else if (command instanceof JobCommand.FinishJob finish) {
			this.job = jobWith(JobState.SUCCEEDED, this.job.worker(), finish.leaseEpoch());
		}
	}

	private FleetView view() {
		HostSpec host = new HostSpec(WORKER, new DataCentre("dc-1"), new Rack("rack-1"),
				new Resources(16_000, 32_768, 0));
		PoolRecord pool = new PoolRecord(POOL, new AvailabilityBudget(0, 1, 1), false, 1);
		return new FleetView(List.of(pool), List.of(new HostRecord(host, POOL, HostState.IN_SERVICE, 1)),
				List.of(new TeamRecord(new TeamSpec(TEAM, 1, 10, 0), 1)), List.of(this.job), List.of(), this.campaigns);
	}

	private JobRecord jobWith(JobState state, Optional<HostName> worker, long epoch) {
		return new JobRecord(JOB, this.job.spec(), state, worker, epoch, false, 0, 0, 0, "", Payload.EMPTY,
				Payload.EMPTY);
	}

	private static JobRecord waitingJob() {
		JobSpec spec = new JobSpec(TEAM, POOL, new Resources(1_000, 1_024, 0), 60_000, false, false,
				Payload.ofText("input"));
		return new JobRecord(JOB, spec, JobState.WAITING, Optional.empty(), 0, false, 0, 0, 0, "", Payload.EMPTY,
				Payload.EMPTY);
	}

	sealed interface Request {

	}

	record ViewRequest(ActorRef<ReplicaView> replyTo) implements Request {
	}

	record ProposalRequest(List<Command> commands, ActorRef<ProposalsEnded> replyTo) implements Request {
	}

}
