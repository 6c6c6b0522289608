package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.ProposalCodec;
import io.burdockpin.core.state.Proposal;

/** Thrift codec for the proposals in log entries. Immutable. */
public final class ThriftProposalCodec extends
		ThriftCodecBase<Proposal, io.burdockpin.codec.thrift.generated.state.Proposal> implements ProposalCodec {

	public ThriftProposalCodec() {
		super(Proposal.class, io.burdockpin.codec.thrift.generated.state.Proposal.class);
	}

}
