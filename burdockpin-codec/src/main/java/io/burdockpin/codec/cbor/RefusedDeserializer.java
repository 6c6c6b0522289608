package io.burdockpin.codec.cbor;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import io.burdockpin.core.batch.call.FleetReply;

/**
 * Reads what {@link RefusedSerializer} and the previous release write. An exact reason of
 * a later release is ignored, since the other one stands for it.
 */
final class RefusedDeserializer extends StdDeserializer<FleetReply.Refused> {

	RefusedDeserializer() {
		super(FleetReply.Refused.class);
	}

	@Override
	public FleetReply.Refused deserialize(JsonParser parser, DeserializationContext context) throws IOException {
		JsonNode fields = context.readTree(parser);
		String exact = fields.path(RefusedSerializer.EXACT_REASON).asText();
		String reason = fields.path(RefusedSerializer.REASON).asText();
		FleetReply.Reason known = find(exact).or(() -> find(reason))
			.orElseThrow(() -> context.weirdStringException(reason, FleetReply.Reason.class, "unknown reason"));
		JsonNode retryAfterMillis = fields.path(RefusedSerializer.RETRY_AFTER_MILLIS);
		return new FleetReply.Refused(known,
				retryAfterMillis.isNumber() ? Optional.of(retryAfterMillis.asInt()) : Optional.empty());
	}

	private static Optional<FleetReply.Reason> find(String name) {
		return Arrays.stream(FleetReply.Reason.values()).filter((reason) -> reason.name().equals(name)).findFirst();
	}

}
