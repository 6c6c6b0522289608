package io.burdockpin.control;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import io.burdockpin.control.link.LinkSupervisorSettings;
import io.burdockpin.control.storage.StorageException;

/**
 * Prevents formatting a member of a cluster that is already running. A member that lost
 * its disk and was formatted again could vote twice in a term. Detects only members that
 * accept a connection. Immutable.
 */
final class RunningMembersCheck {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private final ControlSettings settings;

	RunningMembersCheck(ControlSettings settings) {
		this.settings = settings;
	}

	/**
	 * Tries to connect to the other members.
	 * @throws StorageException if any of them accepts a connection
	 */
	void requireNoneRunning() {
		List<String> running = this.settings.members()
			.stream()
			.filter((member) -> !member.host().equals(this.settings.host()))
			.filter((member) -> isRunning(member.address()))
			.map(ControlSettings.MemberSettings::host)
			.toList();
		if (!running.isEmpty()) {
			throw StorageException.failed(
					"members %s of cluster %s are running; a member that lost its disk must be replaced, not formatted"
						.formatted(running, this.settings.cluster()),
					null);
		}
	}

	private static boolean isRunning(String address) {
		try (Socket socket = new Socket()) {
			socket.connect(LinkSupervisorSettings.socketAddress(address), CONNECT_TIMEOUT_MILLIS);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
