package io.burdockpin.runtime.link;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class LinkSettingsTests {

	/**
	 * Guards against reconnect attempts that overload a small host while a peer is down,
	 * for example when a control member is stopped and all other processes try to
	 * reconnect.
	 */
	@Test
	void theReconnectDelayDoublesUpToItsMaximum() {
		LinkSettings settings = LinkSettings.DEFAULT;
		Truth.assertThat(settings.reconnectDelayMillis(0)).isEqualTo(200);
		Truth.assertThat(settings.reconnectDelayMillis(1)).isEqualTo(400);
		Truth.assertThat(settings.reconnectDelayMillis(2)).isEqualTo(800);
		Truth.assertThat(settings.reconnectDelayMillis(3)).isEqualTo(1_600);
		Truth.assertThat(settings.reconnectDelayMillis(1_000)).isEqualTo(1_600);
	}

}
