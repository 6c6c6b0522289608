package io.burdockpin.runtime.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.burdockpin.core.exc.InvalidValueException;

/**
 * Reads settings files, which are JSON with comments, into immutable records. The
 * canonical constructor of a settings record applies the defaults and checks the ranges.
 * Thread-safe.
 */
public final class SettingsLoader {

	private final ObjectMapper mapper = JsonMapper.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.enable(SerializationFeature.INDENT_OUTPUT)
		.addModule(new Jdk8Module())
		.build();

	/**
	 * Loads and validates a settings file.
	 * @param <S> the settings type
	 * @param file the file
	 * @param type the settings type
	 * @return the settings with defaults filled in
	 * @throws SettingsException if the file cannot be read or has an unknown property, a
	 * value of the wrong type or a value out of range
	 */
	public <S> S load(Path file, Class<S> type) {
		try {
			return this.mapper.readValue(Files.readAllBytes(file), type);
		}
		catch (JsonMappingException ex) {
			throw new SettingsException(describe(file, ex), ex);
		}
		catch (JsonProcessingException ex) {
			throw new SettingsException(location(file, ex) + ": " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new SettingsException("%s: cannot be read: %s".formatted(file, ex), ex);
		}
	}

	/**
	 * Serializes settings as indented JSON.
	 * @param settings the settings
	 * @return the JSON text
	 */
	public String print(Object settings) {
		try {
			return this.mapper.writeValueAsString(settings);
		}
		catch (JsonProcessingException ex) {
			throw new SettingsException("settings cannot be serialized: " + ex.getOriginalMessage(), ex);
		}
	}

	private static String describe(Path file, JsonMappingException ex) {
		String name = ex.getPath()
			.stream()
			.map((reference) -> (reference.getFieldName() != null) ? reference.getFieldName()
					: "[" + reference.getIndex() + "]")
			.collect(Collectors.joining("."));
		String reason = (ex.getCause() instanceof InvalidValueException invalid) ? invalid.getMessage()
				: ex.getOriginalMessage();
		return name.isEmpty() ? "%s: %s".formatted(location(file, ex), reason)
				: "%s: %s: %s".formatted(location(file, ex), name, reason);
	}

	private static String location(Path file, JsonProcessingException ex) {
		JsonLocation location = ex.getLocation();
		return (location != null) ? "%s:%d".formatted(file, location.getLineNr()) : file.toString();
	}

}
