package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The batch scheduler as the users run it: real processes and runners that fail in series
 * that overlap. By hand, system properties that begin with {@code burdockpin.soak.} set
 * the first seed, the number of seeds, the seconds with faults and the repository with
 * the built programs.
 */
class BatchSoakTests {

	private static final long FIRST_SEED = Long.getLong("burdockpin.soak.firstSeed", 1);

	private static final long SEEDS = Long.getLong("burdockpin.soak.seeds", 2);

	private static final Duration LENGTH = Duration.ofSeconds(Long.getLong("burdockpin.soak.seconds", 25));

	private static final Path PROGRAMS = Path.of(System.getProperty("burdockpin.soak.programs", ".."))
		.toAbsolutePath()
		.normalize();

	@TempDir
	private Path folder;

	static LongStream seeds() {
		return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void noTaskRunsTwiceAndEachAcceptedJobIsCompletedWhileProcessesAndRunnersFail(long seed) throws IOException {
		Truth.assertWithMessage("the platform module must be packaged first")
			.that(Files.exists(PROGRAMS.resolve("target/burdockpin-platform.jar")))
			.isTrue();
		Truth.assertThat(new BatchSoak(PROGRAMS, this.folder, seed, LENGTH).run()).isEmpty();
	}

}
