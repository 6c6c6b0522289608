package io.burdockpin.core.state;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Holder;

/**
 * Applies the commands for entry hosts as holders of tokens. Shares the tables with the
 * other rules of the state machine.
 */
final class TokenRules {

	private final FleetTables tables;

	private final LimitCheck limitCheck;

	TokenRules(FleetTables tables, LimitCheck limitCheck) {
		this.tables = tables;
		this.limitCheck = limitCheck;
	}

	void register(CommandHandlers handlers) {
		handlers.register(TokenCommand.RegisterHolder.class, this::register);
		handlers.register(TokenCommand.GrantTokens.class, this::grant);
		handlers.register(TokenCommand.ReleaseHolder.class, this::release);
		handlers.register(TokenCommand.ForgetHost.class, this::forget);
	}

	private CommandResult register(TokenCommand.RegisterHolder command, CommandContext context) {
		Holder holder = command.holder();
		Optional<HolderRecord> known = this.tables.holders.find(holder);
		if (known.isPresent() && !known.get().blocked()) {
			return context.unchanged(0);
		}
		List<HolderRecord> incarnations = this.tables.holders.incarnationsOf(holder.host());
		boolean ended = incarnations.stream()
			.anyMatch((incarnation) -> incarnation.holder().incarnation() >= holder.incarnation());
		CommandRejectedException.rejectIf(ended, ErrorCode.STATE_CONFLICT, "incarnation %d of %s has ended",
				holder.incarnation(), holder.host());
		incarnations.forEach(this.tables.holders::block);
		this.tables.holders.put(new HolderRecord(holder, command.dataCentre(), false));
		return context.accepted();
	}

	private CommandResult grant(TokenCommand.GrantTokens command, CommandContext context) {
		CommandRejectedException.rejectIf(command.ownedCount() < 0 || command.leasedCount() < 0, ErrorCode.BAD_REQUEST,
				"token counts are not negative");
		HolderRecord holder = this.tables.holders.find(command.holder())
			.orElseThrow(() -> new CommandRejectedException(ErrorCode.UNKNOWN_HOST,
					"holder %s is not registered".formatted(command.holder().host())));
		TokenRecord before = this.tables.tokens.getOrEmpty(command.team(), command.holder());
		TokenRecord after = new TokenRecord(command.team(), command.holder(), command.ownedCount(),
				command.leasedCount(), context.index());
		CommandRejectedException.rejectIf(command.expectedVersion() != before.version(), ErrorCode.VERSION_CONFLICT,
				"the tokens of %s for team %s have version %d", command.holder().host(), command.team(),
				before.version());
		checkIncrease(holder, before, after);
		this.tables.tokens.put(after);
		return context.accepted();
	}

	private CommandResult release(TokenCommand.ReleaseHolder command, CommandContext context) {
		Optional<HolderRecord> incarnation = this.tables.holders.find(command.holder());
		CommandRejectedException.rejectIf(incarnation.isEmpty(), ErrorCode.UNKNOWN_HOST, "holder %s is not registered",
				command.holder().host());
		CommandRejectedException.rejectIf(!incarnation.get().blocked(), ErrorCode.STATE_CONFLICT,
				"incarnation %d of %s has not ended", command.holder().incarnation(), command.holder().host());
		this.tables.tokens.removeAll(command.holder());
		this.tables.holders.remove(command.holder());
		return context.accepted();
	}

	private CommandResult forget(TokenCommand.ForgetHost command, CommandContext context) {
		List<HolderRecord> incarnations = this.tables.holders.incarnationsOf(command.host());
		CommandRejectedException.rejectIf(incarnations.isEmpty(), ErrorCode.UNKNOWN_HOST,
				"entry host %s is not registered", command.host());
		incarnations.forEach(this.tables.holders::block);
		return context.accepted();
	}

	private void checkIncrease(HolderRecord holder, TokenRecord before, TokenRecord after) {
		int additionalCount = after.count() - before.count();
		if (additionalCount > 0) {
			CommandRejectedException.rejectIf(holder.blocked(), ErrorCode.STATE_CONFLICT,
					"incarnation %d of %s has ended", holder.holder().incarnation(), holder.holder().host());
			this.limitCheck.check(after.team(), additionalCount);
		}
	}

}
