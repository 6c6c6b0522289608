package io.burdockpin.entry.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.burdockpin.core.exc.ErrorCode;

/** Parses and writes JSON bodies. Immutable after construction. */
final class JsonBodyMapper {

	private final ObjectMapper mapper = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.addModule(new Jdk8Module())
		.build();

	<T> T read(byte[] bytes, Class<T> type) {
		try {
			T value = this.mapper.readValue(bytes, type);
			if (value == null) {
				throw new HttpRefusedException(ErrorCode.BAD_REQUEST, "the body is null instead of a JSON object",
						null);
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			throw new HttpRefusedException(ErrorCode.BAD_REQUEST,
					"the body is not valid JSON for this request: " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new HttpRefusedException(ErrorCode.BAD_REQUEST, "the body cannot be read", ex);
		}
	}

	byte[] write(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new HttpRefusedException(ErrorCode.INTERNAL, "the answer cannot be written as JSON", ex);
		}
	}

}
