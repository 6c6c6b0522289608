package io.burdockpin.systemtest.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.client.MemberChangeKind;
import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;
import io.burdockpin.operator.client.HttpEntryCaller;
import io.burdockpin.operator.client.OperatorClient;

/** An operator that resends a call until its outcome is known. Used by one thread. */
public final class Operator {

	private static final Duration LONGEST_ANSWER = Duration.ofSeconds(10);

	private final HttpEntryCaller caller;

	private final List<String> entries;

	/**
	 * Creates an operator.
	 * @param entries the entry hosts that it calls, in turn
	 */
	public Operator(List<EntryHost> entries) {
		this.entries = entries.stream().map(EntryHost::url).toList();
		this.caller = new HttpEntryCaller(entries.get(0).web().client(), LONGEST_ANSWER);
	}

	// access

	/**
	 * Carries out a change, with as many resends as it takes.
	 * @param requestId identifier of the change
	 * @param command the change
	 * @return the reply
	 */
	public OperatorReply.Changed change(String requestId, Command command) {
		OperatorClient client = client(requestId);
		return Await.value("change " + requestId, () -> whenKnown(() -> client.change(command)));
	}

	/**
	 * Withdraws a key, without resends.
	 * @param requestId identifier of the withdrawal
	 * @param hash hash of the key
	 * @return the reply
	 */
	public OperatorReply.Withdrawn withdraw(String requestId, KeyHash hash) {
		return (OperatorReply.Withdrawn) client(requestId)
			.send(new OperatorRequest.WithdrawKey(new RequestId(requestId), hash));
	}

	/**
	 * Replaces a control member, with as many resends as it takes.
	 * @param requestId identifier of the change
	 * @param host the host of the member
	 * @param incarnation its new incarnation
	 * @param address where it listens for members
	 * @return the reply
	 */
	public OperatorReply replaceMember(String requestId, String host, long incarnation, String address) {
		return Await.value("replacement of " + host,
				() -> whenKnown(() -> client(requestId).send(new OperatorRequest.ChangeMember(new RequestId(requestId),
						MemberChangeKind.REPLACE, new HostName(host), incarnation, address))));
	}

	/**
	 * Reads the configuration as a majority confirms it.
	 * @return the configuration
	 */
	public ConfigurationSnapshot configuration() {
		return ((QueryResult.ConfigurationResult) ask(new Query.ShowConfiguration()).result()).configuration();
	}

	/**
	 * Reads a campaign as a majority confirms it.
	 * @param name the campaign
	 * @return its record, or nothing if there is none
	 */
	public Optional<CampaignRecord> campaign(CampaignName name) {
		return ((QueryResult.Campaigns) ask(new Query.ListCampaigns()).result()).campaigns()
			.stream()
			.filter((campaign) -> campaign.name().equals(name))
			.findFirst();
	}

	/**
	 * Reads a job as a majority confirms it.
	 * @param job the job
	 * @return its record, or nothing if it is unknown
	 */
	public Optional<JobRecord> job(JobId job) {
		return ((QueryResult.Jobs) ask(new Query.ShowJob(job)).result()).jobs().stream().findFirst();
	}

	/**
	 * Asks once for the configuration.
	 * @return whether there was an answer that a majority confirms
	 */
	public boolean hasCurrentAnswer() {
		return whenKnown(() -> client("query").ask(new Query.ShowConfiguration()))
			.filter(OperatorReply.Answered::current)
			.isPresent();
	}

	/**
	 * Reads the control members as a majority confirms them.
	 * @return the members
	 */
	public List<MemberStatus> members() {
		return ((QueryResult.Members) ask(new Query.ListMembers()).result()).members();
	}

	// helpers

	private OperatorReply.Answered ask(Query query) {
		return Await.value("a current answer",
				() -> whenKnown(() -> client("query").ask(query)).filter(OperatorReply.Answered::current));
	}

	private OperatorClient client(String requestId) {
		return new OperatorClient(this.entries, this.caller, new RequestId(requestId), OptionalLong.empty());
	}

	private static <T> Optional<T> whenKnown(java.util.function.Supplier<T> call) {
		try {
			return Optional.of(call.get());
		}
		catch (OperatorException ex) {
			if (mayBeResent(ex)) {
				return Optional.empty();
			}
			throw new AssertionError("refused: " + ex.getMessage(), ex);
		}
	}

	private static boolean mayBeResent(OperatorException ex) {
		return ex.getExit() == OperatorExit.OUTCOME_UNKNOWN || ex.getExit() == OperatorExit.UNREACHABLE
				|| ex.getCode() == ErrorCode.NO_MAJORITY;
	}

}
