package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.Payload;

/**
 * Applies the commands for claims. Shares the tables with the other rules of the state
 * machine.
 * <p>
 * A second claim is rejected even for the same holder, because the holder may have run
 * the request and lost the outcome. A claim with the same number as the held one is
 * accepted: it is a resend for a request that has not been started.
 */
final class ClaimRules {

	/** Maximum age of a request identifier that may be claimed. */
	static final long MAX_IDENTIFIER_AGE_MILLIS = 3600L * 1000;

	/** How far the clock of a caller may be ahead. */
	static final long MAX_CLOCK_SKEW_MILLIS = 5L * 60 * 1000;

	/**
	 * How long a claim is kept after the time in its request identifier. Longer than the
	 * maximum age of an identifier, so that a request whose claim was removed cannot be
	 * claimed again.
	 */
	static final long RETENTION_MILLIS = MAX_IDENTIFIER_AGE_MILLIS + 10L * 60 * 1000;

	static final int MAX_STORED_BODY_BYTES = 4096;

	private static final int MAX_CONTENT_TYPE_LENGTH = 200;

	private final FleetTables tables;

	ClaimRules(FleetTables tables) {
		this.tables = tables;
	}

	void register(CommandHandlers handlers) {
		handlers.register(ClaimCommand.ClaimRequest.class, this::claim);
		handlers.register(ClaimCommand.FinishClaim.class, this::finish);
		handlers.register(ClaimCommand.ReleaseClaim.class, this::release);
	}

	private CommandResult claim(ClaimCommand.ClaimRequest command, CommandContext context) {
		ClaimKey key = new ClaimKey(command.team(), command.requestId());
		Optional<ClaimRecord> known = this.tables.claims.find(key);
		if (known.filter((claim) -> claim.isResentBy(command)).isPresent()) {
			return context.unchanged(0);
		}
		checkIdentifierTime(key, context.nowMillis());
		known.ifPresent((claim) -> {
			throw new CommandRejectedException(claim.state().resendCode(),
					"request %s has been claimed by %s".formatted(key.requestId(), claim.holder().host()));
		});
		this.tables.claims.put(new ClaimRecord(command.team(), command.requestId(), command.holder(),
				ClaimState.CLAIMED, 0, "", false, Payload.EMPTY, command.number()));
		return context.accepted();
	}

	private CommandResult finish(ClaimCommand.FinishClaim command, CommandContext context) {
		ClaimRecord claim = requireHeldBy(new ClaimKey(command.team(), command.requestId()), command.holder());
		if (claim.state() == ClaimState.FINISHED) {
			return context.unchanged(0);
		}
		boolean kept = command.bodyKept() && command.body().lengthBytes() <= MAX_STORED_BODY_BYTES;
		String contentType = (command.contentType().length() <= MAX_CONTENT_TYPE_LENGTH) ? command.contentType() : "";
		this.tables.claims.put(new ClaimRecord(claim.team(), claim.requestId(), claim.holder(), ClaimState.FINISHED,
				command.status(), contentType, kept, kept ? command.body() : Payload.EMPTY, claim.number()));
		return context.accepted();
	}

	private CommandResult release(ClaimCommand.ReleaseClaim command, CommandContext context) {
		ClaimKey key = new ClaimKey(command.team(), command.requestId());
		ClaimRecord claim = requireHeldBy(key, command.holder());
		CommandRejectedException.rejectIf(claim.state() == ClaimState.FINISHED, ErrorCode.ALREADY_RAN,
				"request %s has run", key.requestId());
		CommandRejectedException.rejectIf(!claim.number().equals(command.number()), ErrorCode.ALREADY_CLAIMED,
				"request %s has been claimed again", key.requestId());
		this.tables.claims.remove(key);
		return context.accepted();
	}

	private static void checkIdentifierTime(ClaimKey key, long nowMillis) {
		long identifierMillis = key.identifierMillis();
		boolean outside = identifierMillis < nowMillis - MAX_IDENTIFIER_AGE_MILLIS
				|| identifierMillis > nowMillis + MAX_CLOCK_SKEW_MILLIS;
		CommandRejectedException.rejectIf(identifierMillis < 0 || outside, ErrorCode.REQUEST_ID_REJECTED,
				"identifier %s does not start with a time within the last hour", key.requestId());
	}

	private ClaimRecord requireHeldBy(ClaimKey key, Holder holder) {
		Optional<ClaimRecord> claim = this.tables.claims.find(key);
		CommandRejectedException.rejectIf(claim.isEmpty(), ErrorCode.STATE_CONFLICT, "request %s is not claimed",
				key.requestId());
		CommandRejectedException.rejectIf(!claim.get().holder().equals(holder), ErrorCode.ALREADY_CLAIMED,
				"request %s has been claimed by %s", key.requestId(), claim.get().holder().host());
		return claim.get();
	}

}
