package io.burdockpin.entry.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftPeerCodec;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.QueueRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a cache that is lost or used although it is damaged when an entry host
 * restarts in a partitioned data centre.
 */
class ConfigurationCacheTests {

	private static final ConfigurationView CONFIGURATION = ConfigurationView.of(new ConfigurationSnapshot(12, List.of(),
			List.of(), List.of(), List.of(), List.of(new QueueRecord(new QueueName("quotes"), true, 3))));

	@TempDir
	private Path folder;

	@Test
	void aCachedConfigurationComesBack() {
		cache().save(CONFIGURATION);
		ConfigurationView loaded = cache().load().orElseThrow();
		Truth.assertThat(loaded.index()).isEqualTo(12);
		Truth.assertThat(loaded.queue(new QueueName("quotes")).orElseThrow().open()).isTrue();
	}

	@Test
	void aDamagedFileIsNotUsedWhicheverByteIsWrong() throws IOException {
		cache().save(CONFIGURATION);
		Path file = this.folder.resolve("configuration");
		byte[] content = Files.readAllBytes(file);
		for (int index = 0; index < content.length; index++) {
			byte[] damaged = content.clone();
			damaged[index] ^= 1;
			Files.write(file, damaged);
			Truth.assertThat(cache().load()).isEmpty();
		}
	}

	@Test
	void anEntryHostWithoutACacheStartsWithoutAConfiguration() {
		Truth.assertThat(cache().load()).isEmpty();
	}

	private ConfigurationCache cache() {
		return new ConfigurationCache(this.folder, new Holder(new HostName("entry-1"), 1), new ThriftPeerCodec());
	}

}
