package io.burdockpin.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.codec.thrift.impl.OperatorCall;
import io.burdockpin.codec.thrift.impl.ThriftOperatorCodec;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.operator.client.EntryCaller;

/** Entry hosts that answer as told and keep what they received. */
final class FakeEntries implements EntryCaller {

	private final ThriftOperatorCodec codec = new ThriftOperatorCodec();

	private final Map<String, Answer> answers = new HashMap<>();

	private final List<String> calledEntries = new ArrayList<>();

	private final List<OperatorRequest> requests = new ArrayList<>();

	private final List<String> bodies = new ArrayList<>();

	void answer(String entry, Answer answer) {
		this.answers.put(entry, answer);
	}

	void answer(String entry, OperatorReply reply) {
		answer(entry, (request) -> reply);
	}

	List<String> calledEntries() {
		return this.calledEntries;
	}

	List<OperatorRequest> requests() {
		return this.requests;
	}

	String allBodies() {
		return String.join("\n", this.bodies);
	}

	@Override
	public byte[] call(String entry, byte[] body) throws IOException {
		OperatorCall call = this.codec.decodeCall(body);
		this.calledEntries.add(entry);
		this.requests.add(call.request());
		this.bodies.add(new String(body, StandardCharsets.ISO_8859_1));
		Answer answer = this.answers.get(entry);
		if (answer == null) {
			throw new NotSentException("cannot connect", null);
		}
		return this.codec.encodeReply(call, answer.to(call.request()));
	}

	interface Answer {

		OperatorReply to(OperatorRequest request) throws IOException;

	}

}
