package io.burdockpin.codec.json;

import java.util.Optional;

/**
 * Answer to a {@link RunnerAnnouncement}.
 *
 * @param entryHost the entry host that answers
 * @param attached whether the runner is attached to it
 * @param attachmentMillis how long the attachment lasts without another announcement
 * @param attachTo HTTP address of another entry host to attach to, {@code ip:port}
 */
public record RunnerAnnouncementReply(String entryHost, boolean attached, long attachmentMillis,
		Optional<String> attachTo) {

}
