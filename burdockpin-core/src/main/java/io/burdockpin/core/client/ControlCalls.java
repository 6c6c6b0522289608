package io.burdockpin.core.client;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.burdockpin.core.model.HostName;

/**
 * Calls of an entry host to the leader of the control group. Follows the hints of members
 * that do not lead. A call that was sent on a connection that is then lost has an unknown
 * result and is not sent again. Mutable; owned by one actor.
 */
public final class ControlCalls {

	private final List<HostName> members;

	private final Set<HostName> onConnected = new TreeSet<>();

	private final Map<Long, Call> calls = new LinkedHashMap<>();

	private Optional<HostName> leader = Optional.empty();

	private int nextMemberIndex;

	/**
	 * Creates a table without calls.
	 * @param members the members, nearest first
	 */
	public ControlCalls(List<HostName> members) {
		this.members = List.copyOf(members);
	}

	// life cycle

	/**
	 * Starts a call.
	 * @param correlation number of the call, which the message repeats
	 * @param message the message
	 * @param deadlineMillis when it ends without a reply, in milliseconds since the epoch
	 * @return the effects
	 */
	public List<CallEffect> start(long correlation, ClientMessage message, long deadlineMillis) {
		Call call = new Call(message, deadlineMillis);
		this.calls.put(correlation, call);
		return send(call);
	}

	/**
	 * Takes note of a new connection to a member.
	 * @param member the member
	 * @return the effects
	 */
	public List<CallEffect> onConnected(HostName member) {
		this.onConnected.add(member);
		return sendUnsent();
	}

	/**
	 * Takes note of a lost connection to a member.
	 * @param member the member
	 * @return the effects
	 */
	public List<CallEffect> onDisconnected(HostName member) {
		this.onConnected.remove(member);
		if (this.leader.equals(Optional.of(member))) {
			this.leader = Optional.empty();
		}
		List<CallEffect> effects = new ArrayList<>();
		for (Map.Entry<Long, Call> entry : List.copyOf(this.calls.entrySet())) {
			if (entry.getValue().sentTo.equals(Optional.of(member))) {
				effects
					.add(finish(entry.getKey(), new CallResult.Unknown("the connection to " + member + " was lost")));
			}
		}
		return effects;
	}

	/**
	 * Takes note of the leader that a member follows.
	 * @param reported the leader, if the member knows one
	 * @return the effects
	 */
	public List<CallEffect> onLeaderReported(Optional<HostName> reported) {
		if (reported.isEmpty()) {
			return List.of();
		}
		this.leader = reported;
		return sendUnsent();
	}

	/**
	 * Takes note of a reply.
	 * @param member the member that sent it
	 * @param correlation number of the call
	 * @param reply the reply
	 * @return the effects
	 */
	public List<CallEffect> onReply(HostName member, long correlation, ClientMessage reply) {
		Call call = this.calls.get(correlation);
		if (call == null || !call.sentTo.equals(Optional.of(member))) {
			return List.of();
		}
		if (reply instanceof ClientMessage.NotLeader notLeader) {
			call.sentTo = Optional.empty();
			updateLeader(member, notLeader.leader());
			return this.leader.isPresent() ? send(call) : List.of();
		}
		if (reply instanceof ClientMessage.ProposalUnknown) {
			return List.of(finish(correlation, new CallResult.Unknown(member + " does not know the result")));
		}
		return List.of(finish(correlation, new CallResult.Answered(reply)));
	}

	/**
	 * Ends the calls whose deadline has passed and sends the waiting ones to the next
	 * member.
	 * @param nowMillis the current time
	 * @return the effects
	 */
	public List<CallEffect> tick(long nowMillis) {
		List<CallEffect> effects = new ArrayList<>();
		for (Map.Entry<Long, Call> entry : List.copyOf(this.calls.entrySet())) {
			if (entry.getValue().deadlineMillis <= nowMillis) {
				effects.add(finish(entry.getKey(), entry.getValue().timeoutResult()));
			}
		}
		effects.addAll(sendUnsent());
		return effects;
	}

	// access

	/**
	 * Counts the calls without a result.
	 * @return the count
	 */
	public int pendingCount() {
		return this.calls.size();
	}

	// helpers

	private void updateLeader(HostName member, Optional<HostName> hint) {
		Optional<HostName> other = hint.filter((host) -> !host.equals(member));
		if (other.isPresent()) {
			this.leader = other;
		}
		else if (this.leader.equals(Optional.of(member))) {
			this.leader = Optional.empty();
		}
	}

	private List<CallEffect> sendUnsent() {
		List<CallEffect> effects = new ArrayList<>();
		for (Call call : this.calls.values()) {
			if (call.sentTo.isEmpty()) {
				effects.addAll(send(call));
			}
		}
		this.nextMemberIndex++;
		return effects;
	}

	private List<CallEffect> send(Call call) {
		Optional<HostName> target = this.leader.filter(this.onConnected::contains).or(this::nextMember);
		call.sentTo = target;
		return target.map((member) -> List.<CallEffect>of(new CallEffect.Send(member, call.message)))
			.orElseGet(List::of);
	}

	private Optional<HostName> nextMember() {
		List<HostName> reachable = this.members.stream().filter(this.onConnected::contains).toList();
		return reachable.isEmpty() ? Optional.empty()
				: Optional.of(reachable.get(Math.floorMod(this.nextMemberIndex, reachable.size())));
	}

	private CallEffect finish(long correlation, CallResult result) {
		this.calls.remove(correlation);
		return new CallEffect.Finish(correlation, result);
	}

	private static final class Call {

		private final ClientMessage message;

		private final long deadlineMillis;

		private Optional<HostName> sentTo = Optional.empty();

		private Call(ClientMessage message, long deadlineMillis) {
			this.message = message;
			this.deadlineMillis = deadlineMillis;
		}

		private CallResult timeoutResult() {
			return this.sentTo.isPresent() ? new CallResult.Unknown("no reply came in time")
					: new CallResult.NotProposed("no leader could be reached");
		}

	}

}
