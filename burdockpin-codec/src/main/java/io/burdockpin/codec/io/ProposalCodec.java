package io.burdockpin.codec.io;

import io.burdockpin.core.state.Proposal;

/**
 * Encodes and decodes the proposals in log entries. Implementations are immutable.
 */
public interface ProposalCodec {

	/**
	 * Encodes a proposal.
	 * @param proposal the proposal
	 * @return the payload of a log entry
	 */
	byte[] encode(Proposal proposal);

	/**
	 * Decodes a proposal.
	 * @param bytes the payload of a log entry
	 * @return the proposal
	 * @throws io.burdockpin.core.exc.BurdockException with code {@code DECODE_FAILED} if
	 * the bytes are malformed
	 */
	Proposal decode(byte[] bytes);

}
