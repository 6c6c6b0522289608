package io.burdockpin.entry.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.model.Holder;

/**
 * Stores the newest configuration in a file, so that an entry host that restarts in a
 * partitioned data centre can serve requests. The file contains a CRC32C checksum
 * followed by the frame with which another entry host would send the configuration. Owned
 * by one actor on the dispatcher for blocking calls.
 */
final class ConfigurationCache {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int CHECKSUM_BYTES = Integer.BYTES;

	private final Path file;

	private final Holder holder;

	private final FrameCodec<PeerEnvelope> codec;

	ConfigurationCache(Path folder, Holder holder, FrameCodec<PeerEnvelope> codec) {
		this.file = folder.resolve("configuration");
		this.holder = holder;
		this.codec = codec;
	}

	Optional<ConfigurationView> load() {
		try {
			return Files.exists(this.file) ? decode(Files.readAllBytes(this.file)) : Optional.empty();
		}
		catch (IOException | BurdockException ex) {
			logger.atWarning().withCause(ex).log("Cannot read the cached configuration in %s.", this.file);
			return Optional.empty();
		}
	}

	void save(ConfigurationView configuration) {
		try {
			Files.createDirectories(this.file.toAbsolutePath().getParent());
			Path newFile = this.file.resolveSibling("configuration.new");
			write(newFile, encode(configuration));
			Files.move(newFile, this.file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
		}
		catch (IOException ex) {
			logger.atWarning().withCause(ex).log("Cannot save configuration %d to the cache.", configuration.index());
		}
	}

	private Optional<ConfigurationView> decode(byte[] content) {
		if (content.length < CHECKSUM_BYTES) {
			return Optional.empty();
		}
		byte[] frame = Arrays.copyOfRange(content, CHECKSUM_BYTES, content.length);
		if (ByteBuffer.wrap(content).getInt() != checksum(frame)) {
			logger.atWarning()
				.log("Ignoring the cached configuration in %s, because its checksum does not match.", this.file);
			return Optional.empty();
		}
		PeerMessage message = this.codec.decode(frame).message();
		return (message instanceof PeerMessage.ConfigurationKnown known)
				? Optional.of(ConfigurationView.of(known.configuration())) : Optional.empty();
	}

	private ByteBuffer encode(ConfigurationView configuration) {
		byte[] frame = this.codec.encode(new PeerEnvelope(this.holder, HybridTimestamp.ZERO,
				new PeerMessage.ConfigurationKnown(configuration.snapshot())));
		ByteBuffer content = ByteBuffer.allocate(CHECKSUM_BYTES + frame.length);
		content.putInt(checksum(frame)).put(frame).flip();
		return content;
	}

	private static void write(Path newFile, ByteBuffer content) throws IOException {
		try (FileChannel channel = FileChannel.open(newFile, StandardOpenOption.CREATE,
				StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
			while (content.hasRemaining()) {
				channel.write(content);
			}
			channel.force(true);
		}
	}

	private static int checksum(byte[] frame) {
		CRC32C checksum = new CRC32C();
		checksum.update(frame);
		return (int) checksum.getValue();
	}

}
