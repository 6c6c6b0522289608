package io.burdockpin.codec.cbor;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.type.WritableTypeId;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.jsontype.TypeSerializer;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import io.burdockpin.core.batch.call.FleetReply;

/**
 * Writes a refusal so that the previous release can read it. That release fails on
 * reasons that it does not know, but ignores fields that it does not know, so a new
 * reason is written to a field of its own beside a known one with the same HTTP status.
 */
final class RefusedSerializer extends StdSerializer<FleetReply.Refused> {

	static final String REASON = "reason";

	static final String EXACT_REASON = "exactReason";

	static final String RETRY_AFTER_MILLIS = "retryAfterMillis";

	RefusedSerializer() {
		super(FleetReply.Refused.class);
	}

	@Override
	public void serialize(FleetReply.Refused value, JsonGenerator generator, SerializerProvider provider)
			throws IOException {
		generator.writeStartObject(value);
		writeFields(value, generator);
		generator.writeEndObject();
	}

	@Override
	public void serializeWithType(FleetReply.Refused value, JsonGenerator generator, SerializerProvider provider,
			TypeSerializer types) throws IOException {
		WritableTypeId type = types.writeTypePrefix(generator, types.typeId(value, JsonToken.START_OBJECT));
		writeFields(value, generator);
		types.writeTypeSuffix(generator, type);
	}

	private static void writeFields(FleetReply.Refused value, JsonGenerator generator) throws IOException {
		if (value.reason() == FleetReply.Reason.OVERLOADED) {
			generator.writeStringField(REASON, FleetReply.Reason.NO_CONFIGURATION.name());
			generator.writeStringField(EXACT_REASON, value.reason().name());
		}
		else {
			generator.writeStringField(REASON, value.reason().name());
		}
		if (value.retryAfterMillis().isPresent()) {
			generator.writeNumberField(RETRY_AFTER_MILLIS, value.retryAfterMillis().get());
		}
	}

}
