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
 * Routes calls of an entry host to the leader of the control group, following the leader
 * hints of other members. If a connection is lost after a call was sent on it, the result
 * of the call is unknown and it is not resent. Mutable; owned by one actor.
 */
public final class ControlCalls {

	private final List<HostName> members;

	private final Set<HostName> connected = new TreeSet<>();

	private final Map<Long, Call> calls = new LinkedHashMap<>();

	private Optional<HostName> leader = Optional.empty();

	private int nextMemberIndex;

	/**
	 * Creates an instance without calls and connections.
	 * @param members the members, nearest first
	 */
	public ControlCalls(List<HostName> members) {
		this.members = List.copyOf(members);
	}

	// events

	/**
	 * Starts a call.
	 * @param correlation correlation number of the call, as in the message
	 * @param message the request to send
	 * @param deadlineMillis when the call times out, in milliseconds since the epoch
	 * @return the effects to execute
	 */
	public List<CallEffect> start(long correlation, ClientMessage message, long deadlineMillis) {
		Call call = new Call(message, deadlineMillis);
		this.calls.put(correlation, call);
		return send(call);
	}

	/**
	 * Handles a new connection to a member.
	 * @param member the connected member
	 * @return the effects to execute
	 */
	public List<CallEffect> onConnected(HostName member) {
		this.connected.add(member);
		return sendUnsent();
	}

	/**
	 * Handles a lost connection to a member.
	 * @param member the disconnected member
	 * @return the effects to execute
	 */
	public List<CallEffect> onDisconnected(HostName member) {
		this.connected.remove(member);
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
	 * Handles the leader reported in a heartbeat of a member.
	 * @param reported the leader, empty if the member knows none
	 * @return the effects to execute
	 */
	public List<CallEffect> onLeaderReported(Optional<HostName> reported) {
		if (reported.isEmpty()) {
			return List.of();
		}
		this.leader = reported;
		return sendUnsent();
	}

	/**
	 * Handles a reply.
	 * @param member the sender of the reply
	 * @param correlation correlation number of the call
	 * @param reply the received message
	 * @return the effects to execute
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
	 * Finishes the calls whose deadline has passed and sends the unsent ones to the next
	 * member.
	 * @param nowMillis the current time in milliseconds since the epoch
	 * @return the effects to execute
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
	 * Returns the number of calls without a result.
	 * @return the number of calls, sent or unsent
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
		Optional<HostName> target = this.leader.filter(this.connected::contains).or(this::nextMember);
		call.sentTo = target;
		return target.map((member) -> List.<CallEffect>of(new CallEffect.Send(member, call.message)))
			.orElseGet(List::of);
	}

	private Optional<HostName> nextMember() {
		List<HostName> reachable = this.members.stream().filter(this.connected::contains).toList();
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
