package io.burdockpin.entry.http;

import java.util.Base64;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;

/**
 * Body of {@code POST /v1/jobs}.
 *
 * @param pool the pool whose hosts may run the job
 * @param cpuMillicores thousandths of a processor core
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 * @param runMillis the declared run time
 * @param urgent whether the job goes before others
 * @param repeatable whether the job may be started again after a loss
 * @param payloadBase64 the input in Base64
 */
record JobDocument(String pool, int cpuMillicores, int memoryMebibytes, int accelerators, long runMillis,
		boolean urgent, boolean repeatable, String payloadBase64) {

	JobSpec spec(TeamName team) {
		return new JobSpec(team, new PoolName(this.pool),
				new Resources(this.cpuMillicores, this.memoryMebibytes, this.accelerators), this.runMillis, this.urgent,
				this.repeatable, payload());
	}

	private Payload payload() {
		if (this.payloadBase64 == null) {
			return Payload.EMPTY;
		}
		try {
			return Payload.of(Base64.getDecoder().decode(this.payloadBase64));
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidValueException("payloadBase64 is not Base64");
		}
	}

}
