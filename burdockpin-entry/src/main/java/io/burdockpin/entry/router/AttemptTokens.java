package io.burdockpin.entry.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.entry.token.TokenCommand;
import io.burdockpin.entry.token.TokenEvent;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Tracks which attempts wait for a token, which hold one, and which teams were refused
 * one and are blocked until a token becomes available. Mutable; owned by the router.
 */
final class AttemptTokens {

	private final ActorRef<TokenCommand> tokens;

	private final ActorRef<TokenEvent> events;

	private final Map<Long, PendingAttempt> pending = new HashMap<>();

	private final Set<Long> attemptsWithToken = new HashSet<>();

	private final Set<TeamName> blockedTeams = new HashSet<>();

	/**
	 * Creates an instance without attempts and subscribes to available tokens.
	 * @param tokens owns the tokens
	 * @param events receives acquire results and available tokens
	 */
	AttemptTokens(ActorRef<TokenCommand> tokens, ActorRef<TokenEvent> events) {
		this.tokens = tokens;
		this.events = events;
		tokens.tell(new TokenCommand.Subscribe(events));
	}

	// access

	boolean isBlocked(Optional<TeamName> team) {
		return team.filter(this.blockedTeams::contains).isPresent();
	}

	// events

	void acquire(TeamName team, long attempt, RouterCommand.Enqueue entry, Dispatch dispatch) {
		this.pending.put(attempt, new PendingAttempt(entry, dispatch));
		this.tokens.tell(new TokenCommand.Acquire(team, attempt, entry.request().deadlineMillis(), this.events));
	}

	/**
	 * Handles the result of {@link #acquire}. Blocks the team if no token was granted.
	 * @param result the result
	 * @return the attempt that waited for it; empty if it is unknown
	 */
	Optional<PendingAttempt> onAcquireResult(TokenEvent.AcquireResult result) {
		Optional<PendingAttempt> attempt = Optional.ofNullable(this.pending.remove(result.attempt()));
		if (attempt.isPresent() && result.granted()) {
			this.attemptsWithToken.add(result.attempt());
		}
		else if (attempt.isPresent()) {
			this.blockedTeams.add(result.team());
		}
		return attempt;
	}

	void onAvailable(TeamName team) {
		this.blockedTeams.remove(team);
	}

	/**
	 * Releases the token of an attempt. The token of an attempt with an unknown outcome
	 * is held until its deadline, because the attempt may still be running.
	 * @param attempt number of the attempt
	 * @param outcome outcome of the attempt
	 */
	void end(long attempt, Outcome outcome) {
		if (this.attemptsWithToken.remove(attempt)) {
			this.tokens.tell(
					(outcome != Outcome.UNKNOWN) ? new TokenCommand.Release(attempt) : new TokenCommand.Hold(attempt));
		}
	}

	void reportDemand(ToIntFunction<TeamName> waitingCount) {
		Map<TeamName, Integer> demand = new HashMap<>();
		for (TeamName team : this.blockedTeams) {
			int count = waitingCount.applyAsInt(team);
			if (count > 0) {
				demand.put(team, count);
			}
		}
		this.tokens.tell(new TokenCommand.Demand(demand));
	}

	/**
	 * An attempt that waits for a token.
	 *
	 * @param entry the waiting request
	 * @param dispatch sent to the request when the token is granted
	 */
	record PendingAttempt(RouterCommand.Enqueue entry, Dispatch dispatch) {

	}

}
