package io.burdockpin.operator.key;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;

/**
 * Reads and writes keys. A key is never taken from the command line, which others can
 * see.
 */
public final class KeyFiles {

	private static final int LARGEST_BYTES = 4096;

	private KeyFiles() {
	}

	/**
	 * Reads a key from a file.
	 * @param file the file
	 * @return the key
	 */
	public static TeamKey read(Path file) {
		try (InputStream input = Files.newInputStream(file)) {
			return read(input);
		}
		catch (IOException ex) {
			throw failure("cannot read %s".formatted(file), ex);
		}
	}

	/**
	 * Reads a key from a stream.
	 * @param input the stream
	 * @return the key
	 */
	public static TeamKey read(InputStream input) {
		try {
			return TeamKey.parse(new String(input.readNBytes(LARGEST_BYTES), StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw failure("cannot read the key", ex);
		}
	}

	/**
	 * Writes a key to a new file that only its owner can read.
	 * @param file the file, which must not exist
	 * @param key the key
	 */
	public static void write(Path file, TeamKey key) {
		try {
			Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
			Files.writeString(file, key.reveal() + "\n", StandardOpenOption.WRITE);
		}
		catch (IOException ex) {
			throw failure("cannot create %s".formatted(file), ex);
		}
	}

	/**
	 * Removes the file of a key that was not granted.
	 * @param file the file
	 */
	public static void remove(Path file) {
		try {
			Files.deleteIfExists(file);
		}
		catch (IOException ex) {
			throw failure("cannot remove %s".formatted(file), ex);
		}
	}

	private static OperatorException failure(String what, IOException cause) {
		return new OperatorException(OperatorExit.LOCAL_FILE, ErrorCode.STORAGE_FAILED, what + ": " + cause, cause);
	}

}
