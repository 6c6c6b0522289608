package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes settings of programs. Stateless. */
final class SettingsFile {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private SettingsFile() {
	}

	static Path write(Path folder, String name, Map<String, Object> settings) {
		Path file = folder.resolve(name + ".json");
		try {
			MAPPER.writeValue(file.toFile(), settings);
			return file;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
