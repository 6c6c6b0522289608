package io.burdockpin.codec.cbor;

import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.batch.call.CallMessage;

/**
 * CBOR codec for frames with calls to the batch scheduler and their replies. Immutable.
 */
public final class CborCallCodec extends CborCodecBase<CallMessage> implements FrameCodec<CallMessage> {

	public CborCallCodec() {
		super(CallMessage.class);
	}

}
