package io.burdockpin.operator.action;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;

/** Builds the document with which an explanation is asked for. */
final class PlacementQuestion {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private PlacementQuestion() {
	}

	static JsonNode of(Arguments arguments) {
		Optional<String> job = arguments.optional("job");
		Optional<String> file = arguments.optional("file");
		if (job.isPresent() == file.isPresent()) {
			throw OperatorException.usage("give either --job or --file");
		}
		ObjectNode document = MAPPER.createObjectNode();
		if (job.isPresent()) {
			return document.put("job", job.get());
		}
		document.put("host", required(arguments, "queueHost", "--queue-host"));
		document.put("path", required(arguments, "path", "--path"));
		arguments.optional("keyFile").ifPresent((name) -> document.put("key", read(name).strip()));
		return document.set("submission", submission(file.get()));
	}

	private static String required(Arguments arguments, String name, String option) {
		return arguments.optional(name).orElseThrow(() -> OperatorException.usage("--file needs %s".formatted(option)));
	}

	private static JsonNode submission(String file) {
		try {
			JsonNode submission = MAPPER.readTree(read(file));
			if (submission == null || !submission.isObject()) {
				throw OperatorException.usage("%s is not a JSON object".formatted(file));
			}
			return submission;
		}
		catch (JsonProcessingException ex) {
			throw OperatorException.usage("%s is not JSON: %s".formatted(file, ex.getOriginalMessage()));
		}
	}

	private static String read(String file) {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new OperatorException(OperatorExit.LOCAL_FILE, ErrorCode.STORAGE_FAILED,
					"cannot read %s".formatted(file), ex);
		}
	}

}
