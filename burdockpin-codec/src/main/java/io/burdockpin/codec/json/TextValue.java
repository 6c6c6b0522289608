package io.burdockpin.codec.json;

import java.io.IOException;
import java.util.Base64;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import io.burdockpin.core.model.Payload;

/** Registers serializers for types that are represented as JSON strings. Stateless. */
final class TextValue {

	private TextValue() {
	}

	static <T> void register(SimpleModule module, Class<T> type, Function<T, String> format,
			Function<String, T> parse) {
		module.addSerializer(type, new TextSerializer<>(type, format));
		module.addDeserializer(type, new TextDeserializer<>(type, parse));
	}

	static String toBase64(Payload payload) {
		return Base64.getEncoder().encodeToString(payload.bytes());
	}

	static Payload fromBase64(String text) {
		return Payload.of(Base64.getDecoder().decode(text));
	}

	/**
	 * Serializes a value as a JSON string.
	 *
	 * @param <T> type of the value
	 */
	private static final class TextSerializer<T> extends StdScalarSerializer<T> {

		private final transient Function<T, String> format;

		TextSerializer(Class<T> type, Function<T, String> format) {
			super(type);
			this.format = format;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(this.format.apply(value));
		}

	}

	/**
	 * Deserializes a value from a JSON string.
	 *
	 * @param <T> type of the value
	 */
	private static final class TextDeserializer<T> extends StdScalarDeserializer<T> {

		private final transient Function<String, T> parse;

		TextDeserializer(Class<T> type, Function<String, T> parse) {
			super(type);
			this.parse = parse;
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			if (!parser.hasToken(JsonToken.VALUE_STRING)) {
				throw context.wrongTokenException(parser, handledType(), JsonToken.VALUE_STRING, "expected a string");
			}
			return this.parse.apply(parser.getText());
		}

	}

}
