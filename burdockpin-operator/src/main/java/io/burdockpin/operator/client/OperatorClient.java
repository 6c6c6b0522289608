package io.burdockpin.operator.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.codec.thrift.impl.ThriftOperatorCodec;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.Command;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;

/**
 * Carries out requests at the first entry host that can. A request whose outcome is not
 * known goes on to the next entry host with the same identifier, which returns the first
 * result and changes nothing. Used by one thread.
 */
public final class OperatorClient {

	private final List<String> entries;

	private final EntryCaller caller;

	private final RequestId requestId;

	private final OptionalLong expectedVersion;

	private final ThriftOperatorCodec codec = new ThriftOperatorCodec();

	private int sequence;

	/**
	 * Creates a client.
	 * @param entries addresses of entry hosts, tried in turn
	 * @param caller sends the calls
	 * @param requestId identifier of the change
	 * @param expectedVersion version of the object that the operator has seen
	 */
	public OperatorClient(List<String> entries, EntryCaller caller, RequestId requestId, OptionalLong expectedVersion) {
		this.entries = List.copyOf(entries);
		this.caller = caller;
		this.requestId = requestId;
		this.expectedVersion = expectedVersion;
	}

	// access

	/**
	 * Proposes a change.
	 * @param command the change
	 * @return the reply
	 */
	public OperatorReply.Changed change(Command command) {
		return (OperatorReply.Changed) send(new OperatorRequest.Change(this.requestId, this.expectedVersion, command));
	}

	/**
	 * Asks for records.
	 * @param query what is asked
	 * @return the reply
	 */
	public OperatorReply.Answered ask(Query query) {
		return (OperatorReply.Answered) send(new OperatorRequest.Ask(query));
	}

	/**
	 * Sends another kind of request.
	 * @param request the request
	 * @return the reply, never a failure
	 * @throws OperatorException if it was refused, its outcome is not known or no entry
	 * host could be reached
	 */
	public OperatorReply send(OperatorRequest request) {
		if (this.entries.isEmpty()) {
			throw OperatorException.usage("no entry host given; use --entry or the variable BURDOCK_ENTRY");
		}
		List<Attempt> attempts = new ArrayList<>();
		for (String entry : this.entries) {
			Attempt attempt = attempt(entry, request);
			if (attempt.isFinal()) {
				return attempt.replyOrThrow(this.requestId);
			}
			attempts.add(attempt);
		}
		throw failure(attempts);
	}

	/**
	 * Returns the identifier of the change.
	 * @return the identifier
	 */
	public RequestId requestId() {
		return this.requestId;
	}

	// helpers

	private Attempt attempt(String entry, OperatorRequest request) {
		this.sequence++;
		try {
			byte[] answer = this.caller.call(entry, this.codec.encodeCall(this.sequence, request));
			return new Attempt(entry, this.codec.decodeReply(answer));
		}
		catch (EntryCaller.NotSentException ex) {
			return Attempt.failed(entry, ErrorCode.CONNECTION_FAILED, Outcome.NOT_RUN, ex.getMessage());
		}
		catch (IOException ex) {
			return Attempt.failed(entry, ErrorCode.OUTCOME_UNKNOWN, Outcome.UNKNOWN, "no answer: " + ex.getMessage());
		}
		catch (CodecException ex) {
			return Attempt.failed(entry, ex.getCode(), Outcome.UNKNOWN, ex.getMessage());
		}
	}

	private OperatorException failure(List<Attempt> attempts) {
		String reasons = String.join("; ", attempts.stream().map(Attempt::describe).toList());
		if (attempts.stream().anyMatch(Attempt::unknown)) {
			return new OperatorException(OperatorExit.OUTCOME_UNKNOWN, ErrorCode.OUTCOME_UNKNOWN,
					"%s. The change may have taken effect. Send it again with --request-id %s".formatted(reasons,
							this.requestId),
					null);
		}
		boolean reached = attempts.stream().anyMatch((attempt) -> attempt.code() != ErrorCode.CONNECTION_FAILED);
		return new OperatorException(reached ? OperatorExit.REFUSED : OperatorExit.UNREACHABLE,
				attempts.get(attempts.size() - 1).code(), reasons, null);
	}

	/**
	 * What one entry host said.
	 *
	 * @param entry its address
	 * @param reply its reply, or a failure that stands for a missing one
	 */
	private record Attempt(String entry, OperatorReply reply) {

		static Attempt failed(String entry, ErrorCode code, Outcome outcome, String message) {
			return new Attempt(entry, new OperatorReply.Failed(code, outcome, message));
		}

		// Another entry host may reach a majority or still be running.
		boolean isFinal() {
			return !(this.reply instanceof OperatorReply.Failed failed) || switch (failed.code()) {
				case CONNECTION_FAILED, NO_MAJORITY, OUTCOME_UNKNOWN, STOPPING, DECODE_FAILED -> false;
				default -> true;
			};
		}

		boolean unknown() {
			return this.reply instanceof OperatorReply.Failed failed && failed.outcome() == Outcome.UNKNOWN;
		}

		ErrorCode code() {
			return ((OperatorReply.Failed) this.reply).code();
		}

		String describe() {
			OperatorReply.Failed failed = (OperatorReply.Failed) this.reply;
			return "%s: %s: %s".formatted(this.entry, failed.code(), failed.message());
		}

		OperatorReply replyOrThrow(RequestId requestId) {
			if (this.reply instanceof OperatorReply.Failed failed) {
				String resend = unknown() ? ". Send it again with --request-id " + requestId : "";
				throw new OperatorException(OperatorExit.of(failed.outcome()), failed.code(), failed.message() + resend,
						null);
			}
			return this.reply;
		}

	}

}
