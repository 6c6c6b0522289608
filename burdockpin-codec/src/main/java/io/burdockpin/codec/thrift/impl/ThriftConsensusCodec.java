package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.consensus.ConsensusEnvelope;

/** Thrift codec for messages between control members. Immutable. */
public final class ThriftConsensusCodec
		extends ThriftCodecBase<ConsensusEnvelope, io.burdockpin.codec.thrift.generated.consensus.ConsensusEnvelope>
		implements FrameCodec<ConsensusEnvelope> {

	public ThriftConsensusCodec() {
		super(ConsensusEnvelope.class, io.burdockpin.codec.thrift.generated.consensus.ConsensusEnvelope.class);
	}

}
