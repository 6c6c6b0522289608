package io.burdockpin.testbench.worker;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * What the payload of a job tells the stand-in worker to do. A payload that is not such a
 * document runs for the declared time and returns its own bytes.
 *
 * @param runMillis how long the job really runs
 * @param behaviour how it ends
 * @param usagePercent what it really uses of its declared size
 * @param result the text of the result
 */
public record JobPayload(Optional<Long> runMillis, Optional<JobBehaviour> behaviour, Optional<Integer> usagePercent,
		Optional<String> result) {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	/**
	 * Parses a payload.
	 * @param bytes the bytes
	 * @return what to do
	 */
	public static JobPayload parse(byte[] bytes) {
		try {
			return MAPPER.readValue(bytes, JobPayload.class);
		}
		catch (IOException ex) {
			return new JobPayload(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
		}
	}

}
