package io.burdockpin.codec.json;

import java.util.OptionalLong;

/**
 * Body of {@code POST /v1/upstreams/announce}, sent by a runner every second to the entry
 * host it is attached to.
 *
 * @param runner name of the runner
 * @param queue the queue it serves
 * @param dataCentre the data centre it stands in
 * @param address where it takes requests, {@code ip:port}
 * @param tls whether it takes requests over TLS with a certificate that names it; absent
 * means no
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts
 * @param epoch grows each time the runner attaches to another entry host
 * @param slotsInUse requests it is running now
 * @param leaving whether it takes no new work
 * @param clockMillis its monotonic clock now, in milliseconds since any fixed moment; the
 * entry host states deadlines in it ({@code Burdock-Runner-Deadline-Ms})
 */
public record RunnerAnnouncement(String runner, String queue, String dataCentre, String address, boolean tls, int slots,
		int connections, long epoch, int slotsInUse, boolean leaving, OptionalLong clockMillis) {

}
