package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.EntryContentCodec;
import io.burdockpin.core.consensus.EntryContent;

/** Thrift codec for the content of log entries. Immutable. */
public final class ThriftEntryContentCodec
		extends ThriftCodecBase<EntryContent, io.burdockpin.codec.thrift.generated.consensus.EntryContent>
		implements EntryContentCodec {

	public ThriftEntryContentCodec() {
		super(EntryContent.class, io.burdockpin.codec.thrift.generated.consensus.EntryContent.class);
	}

}
