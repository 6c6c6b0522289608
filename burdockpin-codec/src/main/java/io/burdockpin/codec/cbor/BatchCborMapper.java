package io.burdockpin.codec.cbor;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.burdockpin.core.batch.call.CallMessage;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.model.Payload;

/**
 * Creates the CBOR mapper for the records of the batch scheduler, which carry no
 * annotations. A value of a sealed interface is written with the simple name of its
 * record in the field {@code type}.
 */
final class BatchCborMapper {

	static final ObjectMapper INSTANCE = create();

	private BatchCborMapper() {
	}

	private static ObjectMapper create() {
		SimpleModule payloads = new SimpleModule();
		payloads.addSerializer(FleetReply.Refused.class, new RefusedSerializer());
		payloads.addDeserializer(FleetReply.Refused.class, new RefusedDeserializer());
		payloads.addSerializer(Payload.class, new PayloadSerializer());
		payloads.addDeserializer(Payload.class, new PayloadDeserializer());
		CBORMapper mapper = CBORMapper.builder()
			.addModule(new Jdk8Module())
			.addModule(payloads)
			// Write only the components of records, not the results of other
			// accessor-like methods.
			.visibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
			.visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
			.visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
			.serializationInclusion(JsonInclude.Include.NON_ABSENT)
			// A later version may send more components.
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.build();
		addUnion(mapper, BatchCommand.class);
		addUnion(mapper, FleetCall.class);
		addUnion(mapper, FleetReply.class);
		addUnion(mapper, CallMessage.class);
		return mapper;
	}

	private static void addUnion(ObjectMapper mapper, Class<?> union) {
		mapper.addMixIn(union, TypeFieldMixIn.class);
		for (Class<?> member : union.getPermittedSubclasses()) {
			if (member.isInterface()) {
				addUnion(mapper, member);
			}
			else {
				mapper.registerSubtypes(new NamedType(member, member.getSimpleName()));
			}
		}
	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	private interface TypeFieldMixIn {

	}

	private static final class PayloadSerializer extends StdSerializer<Payload> {

		private PayloadSerializer() {
			super(Payload.class);
		}

		@Override
		public void serialize(Payload value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeBinary(value.bytes());
		}

	}

	private static final class PayloadDeserializer extends StdDeserializer<Payload> {

		private PayloadDeserializer() {
			super(Payload.class);
		}

		@Override
		public Payload deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return Payload.of(parser.getBinaryValue());
		}

	}

}
