package io.burdockpin.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * {@link StorageFiles} in a folder on disk. Immutable; used by one actor at a time.
 */
public final class DiskFiles implements StorageFiles {

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private final Path folder;

	/**
	 * Opens a data folder and creates it if it does not exist.
	 * @param folder path of the folder
	 */
	public DiskFiles(Path folder) {
		this.folder = folder;
		run("create " + folder, () -> Files.createDirectories(folder));
	}

	// access

	@Override
	public List<String> list() {
		return run("list " + this.folder, () -> {
			try (Stream<Path> files = Files.list(this.folder)) {
				return files.map((file) -> file.getFileName().toString())
					.filter((name) -> !name.endsWith(TEMPORARY_SUFFIX))
					.sorted()
					.toList();
			}
		});
	}

	@Override
	public Optional<byte[]> read(String name) {
		Path file = this.folder.resolve(name);
		if (!Files.exists(file)) {
			return Optional.empty();
		}
		return Optional.of(run("read " + file, () -> Files.readAllBytes(file)));
	}

	// changes

	@Override
	public void replace(String name, byte[] content) {
		Path temporary = this.folder.resolve(name + TEMPORARY_SUFFIX);
		run("replace " + this.folder.resolve(name), () -> {
			try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
					StandardOpenOption.TRUNCATE_EXISTING)) {
				writeAll(channel, content);
				channel.force(true);
			}
			Files.move(temporary, this.folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
			return syncFolder();
		});
	}

	@Override
	public void delete(String name) {
		run("delete " + name, () -> Files.deleteIfExists(this.folder.resolve(name)));
	}

	@Override
	public void truncate(String name, long lengthBytes) {
		run("truncate " + name, () -> {
			try (FileChannel channel = FileChannel.open(this.folder.resolve(name), StandardOpenOption.WRITE)) {
				channel.truncate(lengthBytes);
				channel.force(true);
				return lengthBytes;
			}
		});
	}

	@Override
	public AppendFile openForAppend(String name) {
		Path file = this.folder.resolve(name);
		return run("open " + file, () -> {
			FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
			syncFolder();
			return new DiskAppendFile(file, channel);
		});
	}

	// helpers

	private Path syncFolder() throws IOException {
		try (FileChannel channel = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
		return this.folder;
	}

	private static void writeAll(FileChannel channel, byte[] bytes) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		while (buffer.hasRemaining()) {
			channel.write(buffer);
		}
	}

	private static <T> T run(String what, Operation<T> operation) {
		try {
			return operation.run();
		}
		catch (IOException ex) {
			throw StorageException.failed("cannot %s: %s".formatted(what, ex), ex);
		}
	}

	@FunctionalInterface
	private interface Operation<T> {

		T run() throws IOException;

	}

	/** A file opened for appending. */
	private record DiskAppendFile(Path file, FileChannel channel) implements AppendFile {

		@Override
		public void append(byte[] bytes) {
			DiskFiles.run("write " + this.file, () -> {
				writeAll(this.channel, bytes);
				return bytes.length;
			});
		}

		@Override
		public void sync() {
			DiskFiles.run("sync " + this.file, () -> {
				this.channel.force(false);
				return this.file;
			});
		}

		@Override
		public void close() {
			DiskFiles.run("close " + this.file, () -> {
				this.channel.close();
				return this.file;
			});
		}

	}

}
