package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.client.ClientEnvelope;

/** Thrift codec for messages between entry hosts and control members. Immutable. */
public final class ThriftClientCodec
		extends ThriftCodecBase<ClientEnvelope, io.burdockpin.codec.thrift.generated.client.ClientEnvelope>
		implements FrameCodec<ClientEnvelope> {

	public ThriftClientCodec() {
		super(ClientEnvelope.class, io.burdockpin.codec.thrift.generated.client.ClientEnvelope.class);
	}

}
