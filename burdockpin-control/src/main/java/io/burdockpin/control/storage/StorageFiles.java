package io.burdockpin.control.storage;

import java.util.List;
import java.util.Optional;

/**
 * Access to the files of one data folder. All methods throw {@link StorageException} if
 * an operation fails or is incomplete; failed operations are not retried.
 */
public interface StorageFiles {

	/**
	 * Lists the files of the folder.
	 * @return the names in lexicographic order
	 */
	List<String> list();

	/**
	 * Reads a file.
	 * @param name name of the file
	 * @return the content; empty if the file does not exist
	 */
	Optional<byte[]> read(String name);

	/**
	 * Atomically replaces a file: after a crash it has either the old or the new content.
	 * The new content is synced on return.
	 * @param name name of the file
	 * @param content the new content
	 */
	void replace(String name, byte[] content);

	/**
	 * Deletes a file if it exists.
	 * @param name name of the file
	 */
	void delete(String name);

	/**
	 * Truncates a file and syncs it.
	 * @param name name of the file
	 * @param lengthBytes the new length
	 */
	void truncate(String name, long lengthBytes);

	/**
	 * Opens a file for appending and creates it if it does not exist.
	 * @param name name of the file
	 * @return the open file, which the caller closes
	 */
	AppendFile openForAppend(String name);

	/** A file opened for appending. */
	interface AppendFile {

		/**
		 * Appends bytes without a sync.
		 * @param bytes appended completely
		 */
		void append(byte[] bytes);

		/** Syncs all appended bytes. */
		void sync();

		/** Closes the file without a sync. */
		void close();

	}

}
