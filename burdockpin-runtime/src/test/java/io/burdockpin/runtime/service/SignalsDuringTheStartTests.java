package io.burdockpin.runtime.service;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against signals that end a process which has accepted connections but has no
 * actor system yet. The program is held at a stage until the signal was handled or has
 * ended it, so the verdict does not depend on time.
 */
class SignalsDuringTheStartTests {

	private static final int OUTPUT_TIMEOUT_SECONDS = 60;

	private static final int POLL_MILLIS = 10;

	@TempDir
	Path folder;

	private Process program;

	@AfterEach
	void endProgram() {
		this.program.destroyForcibly();
	}

	@ParameterizedTest
	@EnumSource
	void aReloadIsHandledOnceTheGuardianExists(StagedProgram.Stage stage) throws Exception {
		startAndWaitAt(stage);

		signal("HUP");
		awaitOutputOrEnd("Received SIGHUP");
		continueStart();
		awaitOutputOrEnd("handled reload");

		Truth.assertThat(output()).contains("handled reload");
		Truth.assertThat(this.program.isAlive()).isTrue();
		signal("TERM");
		Truth.assertThat(this.program.waitFor()).isEqualTo(0);
		Truth.assertThat(output()).contains("handled stop");
	}

	@ParameterizedTest
	@EnumSource(names = { "CREATING_GUARDIAN", "STARTING_GUARDIAN" })
	void aStopIsGracefulOnceConnectionsMayHaveBeenAccepted(StagedProgram.Stage stage) throws Exception {
		startAndWaitAt(stage);

		signal("TERM");
		awaitOutputOrEnd("Received a request to stop");
		continueStart();

		Truth.assertThat(this.program.waitFor()).isEqualTo(0);
		Truth.assertThat(output()).contains("handled stop");
	}

	@ParameterizedTest
	@EnumSource(names = { "CREATING_GUARDIAN", "STARTING_GUARDIAN" })
	void reloadsBeforeAndAfterAStopDoNotEndTheProcess(StagedProgram.Stage stage) throws Exception {
		startAndWaitAt(stage);

		signal("HUP");
		awaitOutputOrEnd("Received SIGHUP");
		signal("TERM");
		awaitOutputOrEnd("Received a request to stop");
		signal("HUP");
		continueStart();

		Truth.assertThat(this.program.waitFor()).isEqualTo(0);
		Truth.assertThat(output()).contains("handled stop");
	}

	@ParameterizedTest
	@EnumSource(names = "CHECKING_SETTINGS")
	void aStopBeforeAnythingIsAcceptedEndsTheProcessAtOnce(StagedProgram.Stage stage) throws Exception {
		startAndWaitAt(stage);

		signal("TERM");

		Truth.assertThat(this.program.waitFor()).isNotEqualTo(0);
		Truth.assertThat(output()).doesNotContain("handled");
	}

	// helpers

	private void startAndWaitAt(StagedProgram.Stage stage) throws Exception {
		this.program = StagedProgram.start(stage, this.folder);
		awaitOutputOrEnd("waiting at " + stage);
		Truth.assertThat(output()).contains("waiting at " + stage);
	}

	private void signal(String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.program.pid())).start().waitFor();
	}

	private void continueStart() throws IOException {
		if (this.program.isAlive()) {
			this.program.getOutputStream().write('\n');
			this.program.getOutputStream().flush();
		}
	}

	private void awaitOutputOrEnd(String text) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(OUTPUT_TIMEOUT_SECONDS);
		while (!output().contains(text) && System.nanoTime() < endNanos
				&& !this.program.waitFor(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
			continue;
		}
		Truth.assertWithMessage(output()).that(output().contains(text) || !this.program.isAlive()).isTrue();
	}

	private String output() throws IOException {
		return Files.readString(this.folder.resolve("output"));
	}

}
