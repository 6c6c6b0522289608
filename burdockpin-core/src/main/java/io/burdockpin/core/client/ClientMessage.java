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
 * Messages between entry hosts and members of the control group. A request with a
 * correlation number gets one reply with the same number. No reply arrives after the
 * connection is lost.
 */
public sealed interface ClientMessage {

	/**
	 * Entry host to member: subscribes to the configuration feed.
	 *
	 * @param dataCentre data centre of the entry host
	 * @param appliedIndex index of the configuration that the entry host has applied, 0
	 * if none
	 */
	record Subscribe(DataCentre dataCentre, long appliedIndex) implements ClientMessage {

	}

	/**
	 * Member to entry host: the full configuration.
	 *
	 * @param configuration the newest configuration that the member has applied
	 */
	record FeedSnapshot(ConfigurationSnapshot configuration) implements ClientMessage {

	}

	/**
	 * Member to entry host: one committed and accepted configuration change.
	 *
	 * @param previousIndex log index of the preceding configuration change; a receiver
	 * with a lower applied index has missed a change and subscribes again
	 * @param index log index of the change
	 * @param proposal the command of the change and its metadata
	 */
	record FeedUpdate(long previousIndex, long index, Proposal proposal) implements ClientMessage {

	}

	/**
	 * Member to entry host, every second: the member is alive and reports whether it can
	 * reach a majority.
	 *
	 * @param configurationIndex index of the newest configuration change that the member
	 * has applied
	 * @param leader the current leader, empty if unknown
	 * @param majorityReachable whether the member had contact with a leader within the
	 * election timeout
	 */
	record FeedHeartbeat(long configurationIndex, Optional<HostName> leader,
			boolean majorityReachable) implements ClientMessage {

	}

	/**
	 * Entry host to member: acknowledges an applied configuration.
	 *
	 * @param appliedIndex log index of the newest applied configuration change
	 */
	record FeedAcknowledgement(long appliedIndex) implements ClientMessage {

	}

	/**
	 * Entry host to leader: proposes a command.
	 *
	 * @param correlation correlation number of the request
	 * @param requestId identifier for the detection of resends
	 * @param expectedVersion version of the affected object that the proposer expects
	 * @param command the proposed command
	 */
	record Propose(long correlation, Optional<RequestId> requestId, OptionalLong expectedVersion,
			Command command) implements ClientMessage {

	}

	/**
	 * Reply to {@link Propose} and {@link ChangeMember}: the command was applied.
	 *
	 * @param correlation correlation number of the request
	 * @param index log index of the command
	 * @param result whether the command was accepted
	 * @param unconfirmed data centres with entry hosts that have not acknowledged the
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
	 * @param correlation correlation number of the request
	 * @param leader the current leader, empty if unknown
	 */
	record NotLeader(long correlation, Optional<HostName> leader) implements ClientMessage {

	}

	/**
	 * Reply: it is unknown whether the command will be applied.
	 *
	 * @param correlation correlation number of the request
	 */
	record ProposalUnknown(long correlation) implements ClientMessage {

	}

	/**
	 * Entry host to leader: requests a configuration index that includes every change
	 * acknowledged before this request.
	 *
	 * @param correlation correlation number of the request
	 */
	record ReadIndex(long correlation) implements ClientMessage {

	}

	/**
	 * Reply to {@link ReadIndex}.
	 *
	 * @param correlation correlation number of the request
	 * @param configurationIndex log index of the newest configuration change
	 */
	record ReadIndexReply(long correlation, long configurationIndex) implements ClientMessage {

	}

	/**
	 * Entry host to leader: changes one member of the control group. The reply is a
	 * {@link ProposeReply}.
	 *
	 * @param correlation correlation number of the request
	 * @param requestId identifier for the detection of resends
	 * @param kind the kind of change
	 * @param host host of the member
	 * @param incarnation identifies the data folder of the new member
	 * @param address address on which the new member accepts connections of other
	 * members, {@code ip:port}
	 */
	record ChangeMember(long correlation, RequestId requestId, MemberChangeKind kind, HostName host, long incarnation,
			String address) implements ClientMessage {

	}

	/**
	 * Entry host to leader: queries the state of the control group.
	 *
	 * @param correlation correlation number of the request
	 * @param query the query
	 */
	record QueryRequest(long correlation, Query query) implements ClientMessage {

	}

	/**
	 * Reply to {@link QueryRequest}.
	 *
	 * @param correlation correlation number of the request
	 * @param index log index that the replying member has applied
	 * @param current whether a majority has confirmed that the result is current
	 * @param result the records that match the query
	 */
	record QueryReply(long correlation, long index, boolean current, QueryResult result) implements ClientMessage {

	}

	/**
	 * Entry host to leader, every second and at once when demand grows: use of tokens.
	 * Also renews the leased tokens.
	 *
	 * @param correlation correlation number of the message
	 * @param holder host and incarnation of the reporting entry host
	 * @param sequence sequence number of the report, increasing within an incarnation;
	 * the holder measures its leases from the time when it sent the answered report
	 * @param seenTerm term of the newest {@link TokenGrants} that the holder has applied,
	 * 0 if none
	 * @param seenSequence sequence number of the report that those grants answered
	 * @param seenAnswer answer number of those grants
	 * @param baseSequence sequence number of the answered report that this one is a
	 * difference to, 0 for a full report
	 * @param usages one for each team with tokens or demand; in a difference, one for
	 * each team whose usage differs from the base
	 * @param removed teams of the base that no longer have tokens or demand
	 */
	record TokenReport(long correlation, Holder holder, long sequence, long seenTerm, long seenSequence,
			long seenAnswer, long baseSequence, List<TokenUsage> usages,
			List<TeamName> removed) implements ClientMessage {

		public TokenReport {
			usages = List.copyOf(usages);
			removed = List.copyOf(removed);
		}

		/**
		 * Creates a full report of a holder whose newest applied grants were the first
		 * answer to a report.
		 * @param correlation correlation number of the message
		 * @param holder host and incarnation of the reporting entry host
		 * @param sequence sequence number of the report
		 * @param seenTerm term of the newest {@link TokenGrants} that the holder has
		 * applied
		 * @param seenSequence sequence number of the report that those grants answered
		 * @param usages one for each team with tokens or demand
		 */
		public TokenReport(long correlation, Holder holder, long sequence, long seenTerm, long seenSequence,
				List<TokenUsage> usages) {
			this(correlation, holder, sequence, seenTerm, seenSequence, 0, 0, usages, List.of());
		}

		/**
		 * Creates a full report of a holder that has not applied any grants.
		 * @param correlation correlation number of the message, also used as sequence
		 * number of the report
		 * @param holder host and incarnation of the reporting entry host
		 * @param usages one for each team with tokens or demand
		 */
		public TokenReport(long correlation, Holder holder, List<TokenUsage> usages) {
			this(correlation, holder, correlation, 0, 0, usages);
		}

		/**
		 * Returns a copy with another correlation number.
		 * @param newCorrelation correlation number of the copy
		 * @return the copy
		 */
		public TokenReport withCorrelation(long newCorrelation) {
			return new TokenReport(newCorrelation, this.holder, this.sequence, this.seenTerm, this.seenSequence,
					this.seenAnswer, this.baseSequence, this.usages, this.removed);
		}

	}

	/**
	 * Use of the tokens of one team by a holder.
	 *
	 * @param team the team
	 * @param heldCount number of tokens that the holder considers its own
	 * @param inUseCount number of tokens in use
	 * @param waitingCount number of requests that wait for a token
	 */
	record TokenUsage(TeamName team, int heldCount, int inUseCount, int waitingCount) {

	}

	/**
	 * Leader to entry host: the tokens of the entry host, and how many of them it should
	 * return. Sent in answer to a report, and again without a further report when
	 * requested tokens become free.
	 *
	 * @param correlation correlation number of the answered message, 0 if the leader
	 * sends the grants without a further report
	 * @param term term of the leader; a holder ignores grants of an older term
	 * @param sequence sequence number of the answered report; a holder ignores grants
	 * that do not answer its newest report
	 * @param answer 0 for the first answer to the report, increasing for later ones; a
	 * holder ignores an answer that is not higher than the one it has applied
	 * @param leaseMillis how long the leased tokens stay valid after the report was sent
	 * @param baseSequence the {@code seenSequence} of the answered report if these grants
	 * are a difference to the grants that the report names as applied, 0 if they are
	 * complete
	 * @param grants one for each team; in a difference, one for each team whose grant
	 * differs from the base
	 * @param removed teams of the base that no longer have a grant
	 */
	record TokenGrants(long correlation, long term, long sequence, long answer, long leaseMillis, long baseSequence,
			List<TokenGrant> grants, List<TeamName> removed) implements ClientMessage {

		public TokenGrants {
			grants = List.copyOf(grants);
			removed = List.copyOf(removed);
		}

		/**
		 * Creates complete grants that are the first answer to a report.
		 * @param correlation correlation number of the answered message
		 * @param term term of the leader
		 * @param sequence sequence number of the answered report
		 * @param leaseMillis how long the leased tokens stay valid after the report was
		 * sent
		 * @param grants one for each team
		 */
		public TokenGrants(long correlation, long term, long sequence, long leaseMillis, List<TokenGrant> grants) {
			this(correlation, term, sequence, 0, leaseMillis, 0, grants, List.of());
		}

		/**
		 * Creates complete grants of term 0 that are the first answer to a report.
		 * @param correlation correlation number of the answered message, also used as
		 * sequence number of the answered report
		 * @param leaseMillis how long the leased tokens stay valid after the report was
		 * sent
		 * @param grants one for each team
		 */
		public TokenGrants(long correlation, long leaseMillis, List<TokenGrant> grants) {
			this(correlation, 0, correlation, leaseMillis, grants);
		}

		/**
		 * Tells whether these grants are the reply to a call.
		 * @return {@code false} if the leader sends them without a further report
		 */
		public boolean answersCall() {
			return this.correlation != 0;
		}

	}

	/**
	 * Leader to entry host, instead of {@link TokenGrants}: the reporting incarnation is
	 * no longer registered because an operator has declared the host destroyed. The host
	 * has to start a new incarnation.
	 *
	 * @param correlation correlation number of the answered message
	 * @param term term of the leader
	 * @param sequence sequence number of the answered report
	 */
	record HolderForgotten(long correlation, long term, long sequence) implements ClientMessage {

	}

	/**
	 * The tokens of one team.
	 *
	 * @param team the team
	 * @param ownedCount number of tokens that the holder owns until it returns them
	 * @param leasedCount number of tokens that expire at the end of the lease
	 * @param targetCount number of tokens that the holder should keep; it returns the
	 * rest as they become idle and includes the new count in its next report
	 */
	record TokenGrant(TeamName team, int ownedCount, int leasedCount, int targetCount) {

	}

	/**
	 * Entry host to leader: a batch of worker reports received since the last batch. A
	 * worker that is not listed has announced itself within {@code heardWithinMillis}
	 * without a relevant change, unless it was listed as silent before.
	 *
	 * @param correlation correlation number of the message
	 * @param generation increases within an incarnation of the entry host whenever it
	 * resends all reports
	 * @param number number of the batch within its generation, from 0 without gaps
	 * @param heardWithinMillis the longest time since the last announcement of a worker
	 * that is not silent
	 * @param reports reports with a relevant change
	 * @param unchanged workers whose last report is still valid and whose leases are to
	 * be renewed
	 * @param silent workers that no longer announce themselves to this entry host
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
		 * Returns a copy with another correlation number.
		 * @param newCorrelation correlation number of the copy
		 * @return the copy
		 */
		public WorkerReports withCorrelation(long newCorrelation) {
			return new WorkerReports(newCorrelation, this.generation, this.number, this.heardWithinMillis, this.reports,
					this.unchanged, this.silent);
		}

	}

	/**
	 * A worker that has announced itself and whose last report is still valid.
	 *
	 * @param worker name of the worker
	 * @param sequence sequence number of the worker's newest report
	 */
	record UnchangedWorker(HostName worker, long sequence) {

	}

	/**
	 * Report of one worker.
	 *
	 * @param worker name of the worker
	 * @param bootId changes when the host reboots
	 * @param sequence sequence number of the report; orders repeat it, and the worker
	 * measures its leases from the time when it sent that report
	 * @param usage resource usage of all jobs, with a delay
	 * @param jobs the jobs that run or have ended
	 */
	record WorkerReport(HostName worker, String bootId, long sequence, Resources usage, List<JobReport> jobs) {

		public WorkerReport {
			jobs = List.copyOf(jobs);
		}

		/**
		 * Returns the jobs that are reported as running.
		 * @return the jobs in the order of the report
		 */
		public List<JobId> runningJobs() {
			return this.jobs.stream().filter((job) -> job.phase() == JobPhase.RUNNING).map(JobReport::job).toList();
		}

		/**
		 * Returns a copy with the sequence number of a later report of the same content.
		 * @param newSequence sequence number of the later report
		 * @return the copy
		 */
		public WorkerReport withSequence(long newSequence) {
			return new WorkerReport(this.worker, this.bootId, newSequence, this.usage, this.jobs);
		}

	}

	/**
	 * Report of a worker about one job.
	 *
	 * @param job the job
	 * @param leaseEpoch lease epoch under which the job runs
	 * @param phase current phase of the job
	 * @param usage resource usage of the job
	 * @param content the result, the error or the checkpoint, depending on the phase
	 */
	record JobReport(JobId job, long leaseEpoch, JobPhase phase, Resources usage, Payload content) {

	}

	/**
	 * Leader to entry host: orders for workers. The leases of all jobs that a worker has
	 * reported as running are renewed if the batch listed the worker and it has no order
	 * here, unless a resend is requested.
	 *
	 * @param correlation correlation number of the answered batch
	 * @param leaseMillis duration of renewed leases, from the time when the worker sent
	 * its report
	 * @param resend whether the leader lacks earlier batches, so that the entry host must
	 * resend all reports
	 * @param orders one for each worker that needs an explicit order
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
	 * @param worker name of the worker
	 * @param sequence sequence number of the answered report
	 * @param leaseMillis duration of the renewed leases, from the time when that report
	 * was sent
	 * @param renewed jobs whose lease is renewed
	 * @param orders orders about single jobs
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
	 * @param leaseEpoch lease epoch that the order applies to
	 * @param kind kind of the order
	 * @param resources declared resources, for a start
	 * @param runMillis declared run time, for a start
	 * @param repeatable whether the job may be started again; only a repeatable job is
	 * stopped at the end of its lease
	 * @param content payload of the job, for a start
	 * @param checkpoint checkpoint to continue from, empty if none
	 * @param throttlePercent CPU share that the job may use, for a throttle
	 */
	record JobOrder(JobId job, long leaseEpoch, JobOrderKind kind, Resources resources, long runMillis,
			boolean repeatable, Payload content, Payload checkpoint, int throttlePercent) {

	}

}
