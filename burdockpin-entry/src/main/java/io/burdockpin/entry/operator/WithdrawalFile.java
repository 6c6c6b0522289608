package io.burdockpin.entry.operator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.operator.OperatorRequest;

/**
 * The file of uncommitted withdrawals, with one line for each: request identifier and key
 * hash, separated by a space. Every change replaces the file atomically. Owned by one
 * actor on the dispatcher for blocking calls.
 */
final class WithdrawalFile {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Path file;

	WithdrawalFile(Path folder) {
		this.file = folder.resolve("withdrawals");
	}

	List<OperatorRequest.WithdrawKey> load() {
		try {
			return Files.exists(this.file)
					? Files.readAllLines(this.file).stream().flatMap((line) -> parse(line).stream()).toList()
					: List.of();
		}
		catch (IOException ex) {
			logger.atSevere().withCause(ex).log("Cannot read uncommitted withdrawals from %s.", this.file);
			return List.of();
		}
	}

	void save(Collection<OperatorRequest.WithdrawKey> withdrawals) {
		String text = withdrawals.stream()
			.map((withdrawal) -> withdrawal.requestId() + " " + withdrawal.keyHash().hex() + "\n")
			.collect(Collectors.joining());
		try {
			Files.createDirectories(this.file.toAbsolutePath().getParent());
			Path newFile = this.file.resolveSibling("withdrawals.new");
			write(newFile, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
			Files.move(newFile, this.file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
		}
		catch (IOException ex) {
			logger.atSevere().withCause(ex).log("Cannot save uncommitted withdrawals to %s.", this.file);
		}
	}

	// helpers

	private Optional<OperatorRequest.WithdrawKey> parse(String line) {
		try {
			int space = line.lastIndexOf(' ');
			return Optional.of(new OperatorRequest.WithdrawKey(new RequestId(line.substring(0, Math.max(0, space))),
					new KeyHash(line.substring(space + 1))));
		}
		catch (BurdockException ex) {
			logger.atSevere().log("Skipped a malformed line in %s: %s.", this.file, ex.getMessage());
			return Optional.empty();
		}
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

}
