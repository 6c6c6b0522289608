package io.burdockpin.codec.json;

import java.util.OptionalLong;

/**
 * Body of {@code POST /v1/upstreams/announce}, sent by a runner every second to the entry
 * host it is attached to.
 *
 * @param runner name of the runner
 * @param queue name of the queue it serves
 * @param dataCentre the data centre of the runner
 * @param address address on which it accepts requests, {@code ip:port}
 * @param tls whether it accepts requests over TLS with a certificate for its name; absent
 * means no
 * @param slots maximum number of requests it runs at once
 * @param connections maximum number of connections it accepts
 * @param epoch attachment epoch, which increases each time the runner attaches to another
 * entry host
 * @param slotsInUse number of requests it is running
 * @param leaving whether it accepts no new requests
 * @param clockMillis current time of its monotonic clock, in milliseconds since an
 * arbitrary origin; the entry host expresses deadlines in this clock
 * ({@code Burdock-Runner-Deadline-Ms})
 */
public record RunnerAnnouncement(String runner, String queue, String dataCentre, String address, boolean tls, int slots,
		int connections, long epoch, int slotsInUse, boolean leaving, OptionalLong clockMillis) {

}
