package io.burdockpin.control.storage;

import java.util.List;
import java.util.Optional;

/**
 * Access to the files of one data folder. All methods throw {@link StorageException} if
 * an operation fails or is incomplete; a failed operation is never tried again.
 */
public interface StorageFiles {

	/**
	 * Lists the files.
	 * @return their names in order
	 */
	List<String> list();

	/**
	 * Reads a file.
	 * @param name its name
	 * @return its content, if it exists
	 */
	Optional<byte[]> read(String name);

	/**
	 * Puts a file in place so that a crash leaves either the old or the new content. The
	 * new content is synced on return.
	 * @param name its name
	 * @param content its content
	 */
	void replace(String name, byte[] content);

	/**
	 * Deletes a file.
	 * @param name its name
	 */
	void delete(String name);

	/**
	 * Shortens a file and syncs it.
	 * @param name its name
	 * @param lengthBytes the new length
	 */
	void truncate(String name, long lengthBytes);

	/**
	 * Opens a file for appending and creates it if it does not exist.
	 * @param name its name
	 * @return the open file
	 */
	AppendFile openForAppend(String name);

	/** A file open for appending. */
	interface AppendFile {

		/**
		 * Appends bytes.
		 * @param bytes the bytes
		 */
		void append(byte[] bytes);

		/** Syncs all appended bytes. */
		void sync();

		/** Closes the file without a sync. */
		void close();

	}

}
