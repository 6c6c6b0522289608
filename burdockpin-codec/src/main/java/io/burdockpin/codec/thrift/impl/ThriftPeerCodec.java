package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.membership.PeerEnvelope;

/** Thrift codec for messages between entry hosts. Immutable. */
public final class ThriftPeerCodec
		extends ThriftCodecBase<PeerEnvelope, io.burdockpin.codec.thrift.generated.peer.PeerEnvelope>
		implements FrameCodec<PeerEnvelope> {

	public ThriftPeerCodec() {
		super(PeerEnvelope.class, io.burdockpin.codec.thrift.generated.peer.PeerEnvelope.class);
	}

}
