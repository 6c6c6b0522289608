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
 * @param pool pool of hosts that may run the job
 * @param cpuMillicores requested CPU in thousandths of a core
 * @param memoryMebibytes requested memory in MiB
 * @param accelerators requested number of accelerators
 * @param runMillis declared run time
 * @param urgent whether the job has priority over jobs that are not urgent
 * @param repeatable whether the job may be restarted after the loss of its worker
 * @param payloadBase64 job input in Base64; {@code null} for none
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
			throw new InvalidValueException("payloadBase64 is not valid Base64");
		}
	}

}
