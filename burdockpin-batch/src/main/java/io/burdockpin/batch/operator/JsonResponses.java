package io.burdockpin.batch.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.burdockpin.runtime.http.socket.HttpServerResponse;

/** Writes the responses of the operators' interface. Stateless. */
final class JsonResponses {

	/** Leaves out what is empty. */
	static final JsonMapper MAPPER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.serializationInclusion(JsonInclude.Include.NON_ABSENT)
		.build();

	private JsonResponses() {
	}

	static HttpServerResponse of(int status, Object document) {
		try {
			return HttpServerResponse.json(status, MAPPER.writeValueAsBytes(document));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("maps, lists and records of texts and numbers can always be written", ex);
		}
	}

}
