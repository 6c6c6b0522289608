package io.burdockpin.control.storage;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads and writes {@code identity.json}. Immutable. */
final class IdentityFile {

	static final String NAME = "identity.json";

	private final ObjectMapper mapper = new ObjectMapper();

	Optional<Identity> read(StorageFiles files) {
		return files.read(NAME).map(this::decode);
	}

	void write(StorageFiles files, Identity identity) {
		try {
			files.replace(NAME, this.mapper.writeValueAsBytes(identity));
		}
		catch (JsonProcessingException ex) {
			throw StorageException.failed("cannot encode " + NAME, ex);
		}
	}

	private Identity decode(byte[] content) {
		try {
			return this.mapper.readValue(content, Identity.class);
		}
		catch (IOException ex) {
			throw StorageException.corrupt("%s is malformed: %s".formatted(NAME, ex.getMessage()), ex);
		}
	}

}
