package io.burdockpin.core.client;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.Proposal;

/**
 * Content of the messages between entry hosts and control members. Requests with a
 * correlation number get one reply with the same number; a lost connection means that the
 * reply will not come.
 */
public sealed interface ClientMessage {

	/**
	 * Entry host to member: asks for the configuration feed.
	 *
	 * @param dataCentre where the entry host stands
	 * @param appliedIndex index of the configuration it has, 0 if none
	 */
	record Subscribe(DataCentre dataCentre, long appliedIndex) implements ClientMessage {

	}

	/**
	 * Member to entry host: the whole configuration.
	 *
	 * @param configuration the configuration
	 */
	record FeedSnapshot(ConfigurationSnapshot configuration) implements ClientMessage {

	}

	/**
	 * Member to entry host: one committed and accepted configuration change.
	 *
	 * @param previousIndex index of the configuration change before this one; a receiver
	 * with a lower index has missed a change and subscribes again
	 * @param index log index of the change
	 * @param proposal the change
	 */
	record FeedUpdate(long previousIndex, long index, Proposal proposal) implements ClientMessage {

	}

	/**
	 * Member to entry host, every second: the member is alive and can or cannot reach a
	 * majority.
	 *
	 * @param configurationIndex index of the newest configuration change it has applied
	 * @param leader the leader that it follows
	 * @param majorityReachable whether it heard from a leader within the election timeout
	 */
	record FeedHeartbeat(long configurationIndex, Optional<HostName> leader,
			boolean majorityReachable) implements ClientMessage {

	}

	/**
	 * Entry host to member: the configuration up to an index is in force.
	 *
	 * @param appliedIndex the index
	 */
	record FeedAcknowledgement(long appliedIndex) implements ClientMessage {

	}

	/**
	 * Entry host to leader: proposes a command.
	 *
	 * @param correlation number of the request
	 * @param requestId identifier for resends
	 * @param expectedVersion version of the object that the proposer has seen
	 * @param command the change
	 */
	record Propose(long correlation, Optional<RequestId> requestId, OptionalLong expectedVersion,
			Command command) implements ClientMessage {

	}

	/**
	 * Reply: the command was applied with this result.
	 *
	 * @param correlation number of the request
	 * @param index its log index
	 * @param result the result
	 * @param unconfirmed data centres with entry hosts that have not confirmed a
	 * configuration change
	 */
	record ProposeReply(long correlation, long index, CommandResult result,
			List<DataCentre> unconfirmed) implements ClientMessage {

		public ProposeReply {
			unconfirmed = List.copyOf(unconfirmed);
		}

	}

	/**
	 * Reply: the request was certainly not proposed, because the member is not the leader
	 * or cannot reach a majority.
	 *
	 * @param correlation number of the request
	 * @param leader the leader if known
	 */
	record NotLeader(long correlation, Optional<HostName> leader) implements ClientMessage {

	}

	/**
	 * Reply: it is unknown whether the command will be applied.
	 *
	 * @param correlation number of the request
	 */
	record ProposalUnknown(long correlation) implements ClientMessage {

	}

	/**
	 * Entry host to leader: asks for an index that is at least as new as every change
	 * acknowledged before.
	 *
	 * @param correlation number of the request
	 */
	record ReadIndex(long correlation) implements ClientMessage {

	}

	/**
	 * Reply to {@link ReadIndex}.
	 *
	 * @param correlation number of the request
	 * @param configurationIndex index of the newest configuration change
	 */
	record ReadIndexReply(long correlation, long configurationIndex) implements ClientMessage {

	}

	/**
	 * Entry host to leader: changes the members of the control group, one at a time. The
	 * reply is a {@link ProposeReply}.
	 *
	 * @param correlation number of the request
	 * @param requestId identifier for resends
	 * @param kind the kind of change
	 * @param host the host of the member
	 * @param incarnation identifies the data folder of the new member
	 * @param address where the new member listens for other members, {@code ip:port}
	 */
	record ChangeMember(long correlation, RequestId requestId, MemberChangeKind kind, HostName host, long incarnation,
			String address) implements ClientMessage {

	}

	/**
	 * Entry host to leader: asks for records.
	 *
	 * @param correlation number of the request
	 * @param query what is asked
	 */
	record QueryRequest(long correlation, Query query) implements ClientMessage {

	}

	/**
	 * Reply to {@link QueryRequest}.
	 *
	 * @param correlation number of the request
	 * @param index applied log index of the answering member
	 * @param current whether the answer is confirmed by a majority
	 * @param result the records
	 */
	record QueryReply(long correlation, long index, boolean current, QueryResult result) implements ClientMessage {

	}

	/**
	 * Entry host to leader, every second and at once when demand grows: use of tokens.
	 * Also renews the leased tokens.
	 *
	 * @param correlation number of the message; the reply repeats it
	 * @param holder the reporting life
	 * @param sequence number of the report, grows within a life; the holder counts its
	 * leases from the time it sent the report that the reply names
	 * @param seenTerm term of the newest {@link TokenGrants} that the holder applied, 0
	 * if none
	 * @param seenSequence number of the report that those grants answered
	 * @param seenAnswer which of the answers to that report they were
	 * @param baseSequence number of the answered report that this one only names the
	 * differences to, 0 if it is whole
	 * @param usages one for each team with tokens or demand, or with other numbers than
	 * in the base
	 * @param removed teams of the base that have neither tokens nor demand any more
	 */
	record TokenReport(long correlation, Holder holder, long sequence, long seenTerm, long seenSequence,
			long seenAnswer, long baseSequence, List<TokenUsage> usages,
			List<TeamName> removed) implements ClientMessage {

		public TokenReport {
			usages = List.copyOf(usages);
			removed = List.copyOf(removed);
		}

		/**
		 * Creates a whole report of a holder that has applied at most first answers.
		 * @param correlation number of the message
		 * @param holder the reporting life
		 * @param sequence number of the report
		 * @param seenTerm term of the newest {@link TokenGrants} that the holder applied
		 * @param seenSequence number of the report that those grants answered
		 * @param usages one for each team with tokens or demand
		 */
		public TokenReport(long correlation, Holder holder, long sequence, long seenTerm, long seenSequence,
				List<TokenUsage> usages) {
			this(correlation, holder, sequence, seenTerm, seenSequence, 0, 0, usages, List.of());
		}

		/**
		 * Creates a report of a holder that has not applied any grants.
		 * @param correlation number of the message
		 * @param holder the reporting life
		 * @param usages one for each team with tokens or demand
		 */
		public TokenReport(long correlation, Holder holder, List<TokenUsage> usages) {
			this(correlation, holder, correlation, 0, 0, usages);
		}

		/**
		 * Returns a copy with a number for the message.
		 * @param newCorrelation the number
		 * @return the copy
		 */
		public TokenReport withCorrelation(long newCorrelation) {
			return new TokenReport(newCorrelation, this.holder, this.sequence, this.seenTerm, this.seenSequence,
					this.seenAnswer, this.baseSequence, this.usages, this.removed);
		}

	}

	/**
	 * Use of one team's tokens.
	 *
	 * @param team the team
	 * @param heldCount tokens the holder counts as its own
	 * @param inUseCount tokens in use
	 * @param waitingCount requests that wait for a token
	 */
	record TokenUsage(TeamName team, int heldCount, int inUseCount, int waitingCount) {

	}

	/**
	 * Leader to entry host: the tokens it has, and how many of them it should give back.
	 * Sent as the answer to a report, and again without a further report when tokens
	 * become free that the report asked for.
	 *
	 * @param correlation number of the message it answers, 0 if it is sent again
	 * @param term term of the leader; a holder ignores grants of an older term
	 * @param sequence number of the report it answers; a holder ignores grants that do
	 * not answer its newest report
	 * @param answer 0 for the first answer to the report, higher for each later one; a
	 * holder ignores an answer that is not higher than the one it has applied
	 * @param leaseMillis how long the leased tokens stay valid after the report was sent
	 * @param baseSequence number of the report whose applied answer, as the answered
	 * report names it, these grants only name the differences to, 0 if they are whole
	 * @param grants one for each team, or for each with other numbers than in the base
	 * @param removed teams of the base without a grant
	 */
	record TokenGrants(long correlation, long term, long sequence, long answer, long leaseMillis, long baseSequence,
			List<TokenGrant> grants, List<TeamName> removed) implements ClientMessage {

		public TokenGrants {
			grants = List.copyOf(grants);
			removed = List.copyOf(removed);
		}

		/**
		 * Creates whole grants that are the first answer.
		 * @param correlation number of the message it answers
		 * @param term term of the leader
		 * @param sequence number of the report it answers
		 * @param leaseMillis how long the leased tokens stay valid after the report was
		 * sent
		 * @param grants one for each team
		 */
		public TokenGrants(long correlation, long term, long sequence, long leaseMillis, List<TokenGrant> grants) {
			this(correlation, term, sequence, 0, leaseMillis, 0, grants, List.of());
		}

		/**
		 * Creates grants outside any term.
		 * @param correlation number of the message and the report it answers
		 * @param leaseMillis how long the leased tokens stay valid after the report was
		 * sent
		 * @param grants one for each team
		 */
		public TokenGrants(long correlation, long leaseMillis, List<TokenGrant> grants) {
			this(correlation, 0, correlation, leaseMillis, grants);
		}

		/**
		 * Tells whether these grants answer a call.
		 * @return {@code false} if the leader sent them without a further report
		 */
		public boolean answersCall() {
			return this.correlation != 0;
		}

	}

	/**
	 * Leader to entry host, instead of {@link TokenGrants}: the reporting life is not
	 * registered any more because an operator has declared the host destroyed. The host
	 * starts a new life.
	 *
	 * @param correlation number of the message it answers
	 * @param term term of the leader
	 * @param sequence number of the report it answers
	 */
	record HolderForgotten(long correlation, long term, long sequence) implements ClientMessage {

	}

	/**
	 * The tokens of one team.
	 *
	 * @param team the team
	 * @param ownedCount tokens owned until returned
	 * @param leasedCount tokens that lapse
	 * @param targetCount how many the holder should keep; it reduces its count to this as
	 * tokens become idle and says so in its next report
	 */
	record TokenGrant(TeamName team, int ownedCount, int leasedCount, int targetCount) {

	}

	/**
	 * Entry host to leader: what its workers reported since the last batch. A worker that
	 * is not named has announced itself within {@code heardWithinMillis} and has nothing
	 * new to say, unless it was named as silent.
	 *
	 * @param correlation number of the message; the reply repeats it
	 * @param generation grows within a life of the entry host whenever it sends
	 * everything again
	 * @param number number of the batch within its generation, from 0 without gaps
	 * @param heardWithinMillis the longest time since the last announcement of a worker
	 * that is not silent
	 * @param reports workers whose report has changed noticeably
	 * @param unchanged workers whose report stands and whose leases are to be renewed
	 * @param silent workers that no longer announce themselves here
	 */
	record WorkerReports(long correlation, long generation, long number, long heardWithinMillis,
			List<WorkerReport> reports, List<UnchangedWorker> unchanged,
			List<HostName> silent) implements ClientMessage {

		public WorkerReports {
			reports = List.copyOf(reports);
			unchanged = List.copyOf(unchanged);
			silent = List.copyOf(silent);
		}

		/**
		 * Returns a copy with the number of the message.
		 * @param newCorrelation number of the message
		 * @return the copy
		 */
		public WorkerReports withCorrelation(long newCorrelation) {
			return new WorkerReports(newCorrelation, this.generation, this.number, this.heardWithinMillis, this.reports,
					this.unchanged, this.silent);
		}

	}

	/**
	 * A worker that has announced itself and whose last report stands.
	 *
	 * @param worker the worker
	 * @param sequence number of the worker's newest report
	 */
	record UnchangedWorker(HostName worker, long sequence) {

	}

	/**
	 * What one worker reported.
	 *
	 * @param worker the worker
	 * @param bootId changes when the host reboots
	 * @param sequence number of the worker's report, repeated in the orders so that the
	 * worker counts its leases from when it sent that report
	 * @param usage what its jobs use, with a lag
	 * @param jobs the jobs it runs or has ended
	 */
	record WorkerReport(HostName worker, String bootId, long sequence, Resources usage, List<JobReport> jobs) {

		public WorkerReport {
			jobs = List.copyOf(jobs);
		}

		/**
		 * Returns the jobs that the worker says it runs.
		 * @return the jobs in the order of the report
		 */
		public List<JobId> runningJobs() {
			return this.jobs.stream().filter((job) -> job.phase() == JobPhase.RUNNING).map(JobReport::job).toList();
		}

		/**
		 * Returns a copy with the number of a later report that says the same.
		 * @param newSequence number of the later report
		 * @return the copy
		 */
		public WorkerReport withSequence(long newSequence) {
			return new WorkerReport(this.worker, this.bootId, newSequence, this.usage, this.jobs);
		}

	}

	/**
	 * What a worker says about one job.
	 *
	 * @param job the job
	 * @param leaseEpoch the epoch under which it runs
	 * @param phase how far it got
	 * @param usage what it uses
	 * @param content the result or checkpoint, depending on the phase
	 */
	record JobReport(JobId job, long leaseEpoch, JobPhase phase, Resources usage, Payload content) {

	}

	/**
	 * Leader to entry host: orders for workers. A worker that the batch named and that
	 * has no order here keeps the leases of all jobs it reported as running, unless
	 * everything is to be sent again.
	 *
	 * @param correlation number of the batch it answers
	 * @param leaseMillis how long renewed leases last from when the worker sent its
	 * report
	 * @param resend whether the leader lacks earlier batches, so that everything must be
	 * sent again
	 * @param orders one for each worker that is told more
	 */
	record WorkerOrders(long correlation, long leaseMillis, boolean resend,
			List<WorkerOrder> orders) implements ClientMessage {

		public WorkerOrders {
			orders = List.copyOf(orders);
		}

	}

	/**
	 * Orders for one worker.
	 *
	 * @param worker the worker
	 * @param sequence number of the report this answers
	 * @param leaseMillis how long the renewed leases last from when that report was sent
	 * @param renewed jobs whose lease is renewed
	 * @param orders what to do with jobs
	 */
	record WorkerOrder(HostName worker, long sequence, long leaseMillis, List<JobId> renewed, List<JobOrder> orders) {

		public WorkerOrder {
			renewed = List.copyOf(renewed);
			orders = List.copyOf(orders);
		}

	}

	/**
	 * An order about one job.
	 *
	 * @param job the job
	 * @param leaseEpoch the epoch it is valid for
	 * @param kind what to do
	 * @param resources the declared size, for a start
	 * @param runMillis the declared run time, for a start
	 * @param repeatable whether the job may be started again; only then it stops at the
	 * end of its lease
	 * @param content payload for a start; the checkpoint to continue from is in
	 * {@code checkpoint}
	 * @param checkpoint where to continue from, or no bytes
	 * @param throttlePercent processor share that is left to the job, for a throttle
	 */
	record JobOrder(JobId job, long leaseEpoch, JobOrderKind kind, Resources resources, long runMillis,
			boolean repeatable, Payload content, Payload checkpoint, int throttlePercent) {

	}

}
