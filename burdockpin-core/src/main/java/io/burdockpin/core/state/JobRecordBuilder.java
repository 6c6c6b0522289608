package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;

/**
 * Builds the next record of a job from its current one. Mutable; used by one rule at a
 * time.
 */
final class JobRecordBuilder {

	private static final int MAX_DETAIL_LENGTH = 500;

	private final JobRecord before;

	private JobSpec spec;

	private JobState state;

	private Optional<HostName> worker;

	private long leaseEpoch;

	private boolean cancelRequested;

	private int moveCount;

	private String detail;

	private Payload checkpoint;

	private Payload result;

	JobRecordBuilder(JobRecord before) {
		this.before = before;
		this.spec = before.spec();
		this.state = before.state();
		this.worker = before.worker();
		this.leaseEpoch = before.leaseEpoch();
		this.cancelRequested = before.cancelRequested();
		this.moveCount = before.moveCount();
		this.detail = before.detail();
		this.checkpoint = before.checkpoint();
		this.result = before.result();
	}

	JobRecordBuilder state(JobState newState, String reason) {
		this.state = newState;
		this.detail = reason.substring(0, Math.min(reason.length(), MAX_DETAIL_LENGTH));
		if (newState.ended()) {
			dropInput();
		}
		return this;
	}

	JobRecordBuilder place(HostName newWorker, long newLeaseEpoch) {
		this.worker = Optional.of(newWorker);
		this.leaseEpoch = newLeaseEpoch;
		return this;
	}

	JobRecordBuilder unplace(boolean moved) {
		this.worker = Optional.empty();
		this.moveCount += moved ? 1 : 0;
		return this;
	}

	JobRecordBuilder requestCancel() {
		this.cancelRequested = true;
		return this;
	}

	JobRecordBuilder checkpoint(Payload newest) {
		boolean usable = newest.lengthBytes() > 0 && newest.lengthBytes() <= JobSpec.MAX_PAYLOAD_BYTES;
		if (usable) {
			this.checkpoint = newest;
		}
		return this;
	}

	JobRecordBuilder result(Payload newResult) {
		this.result = newResult;
		return this;
	}

	JobRecord build(long nowMillis) {
		long changedMillis = (this.state != this.before.state()) ? nowMillis : this.before.changedMillis();
		return new JobRecord(this.before.id(), this.spec, this.state, this.worker, this.leaseEpoch,
				this.cancelRequested, this.before.submittedMillis(), changedMillis, this.moveCount, this.detail,
				this.checkpoint, this.result);
	}

	// An ended job never runs again, so its input is dropped to save memory.
	private void dropInput() {
		this.spec = new JobSpec(this.spec.team(), this.spec.pool(), this.spec.resources(), this.spec.runMillis(),
				this.spec.urgent(), this.spec.repeatable(), Payload.EMPTY);
		this.checkpoint = Payload.EMPTY;
	}

}
