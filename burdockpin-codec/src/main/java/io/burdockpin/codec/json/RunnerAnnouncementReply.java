package io.burdockpin.codec.json;

import java.util.Optional;

/**
 * Response to a {@link RunnerAnnouncement}.
 *
 * @param entryHost name of the responding entry host
 * @param attached whether the runner is attached to it
 * @param attachmentMillis how long the runner stays attached without a further
 * announcement
 * @param attachTo HTTP address of an entry host to attach to instead, {@code ip:port}
 */
public record RunnerAnnouncementReply(String entryHost, boolean attached, long attachmentMillis,
		Optional<String> attachTo) {

}
