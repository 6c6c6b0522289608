package io.burdockpin.codec.cbor;

import io.burdockpin.core.batch.state.CommandGroup;

/** CBOR codec for the content of log entries of the batch scheduler. Immutable. */
public final class CborCommandGroupCodec extends CborCodecBase<CommandGroup> {

	public CborCommandGroupCodec() {
		super(CommandGroup.class);
	}

}
