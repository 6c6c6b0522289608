package io.burdockpin.control.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Files of a folder on a disk that loses power: what was not synced is torn. A restart of
 * the process alone loses nothing.
 */
final class FilesWithPowerLoss implements StorageFiles {

	private static final int TORN_BYTES = 3;

	private final Path folder;

	private final DiskFiles files;

	private final Map<String, Long> syncedBytes = new HashMap<>();

	FilesWithPowerLoss(Path folder) {
		this.folder = folder;
		this.files = new DiskFiles(folder);
	}

	void losePower() throws IOException {
		for (Map.Entry<String, Long> synced : this.syncedBytes.entrySet()) {
			Path file = this.folder.resolve(synced.getKey());
			byte[] content = Files.readAllBytes(file);
			int keptBytes = (int) Math.min(content.length, synced.getValue() + TORN_BYTES);
			Files.write(file, Arrays.copyOf(content, keptBytes));
		}
	}

	@Override
	public List<String> list() {
		return this.files.list();
	}

	@Override
	public Optional<byte[]> read(String name) {
		return this.files.read(name);
	}

	@Override
	public void replace(String name, byte[] content) {
		this.files.replace(name, content);
	}

	@Override
	public void delete(String name) {
		this.files.delete(name);
		this.syncedBytes.remove(name);
	}

	@Override
	public void truncate(String name, long lengthBytes) {
		this.files.truncate(name, lengthBytes);
		recordSync(name);
	}

	@Override
	public AppendFile openForAppend(String name) {
		AppendFile opened = this.files.openForAppend(name);
		this.syncedBytes.putIfAbsent(name, 0L);
		return new AppendFile() {

			@Override
			public void append(byte[] bytes) {
				opened.append(bytes);
			}

			@Override
			public void sync() {
				opened.sync();
				recordSync(name);
			}

			@Override
			public void close() {
				opened.close();
			}

		};
	}

	private void recordSync(String name) {
		try {
			this.syncedBytes.put(name, Files.size(this.folder.resolve(name)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
