package io.burdockpin.entry.control;

import java.util.Optional;

import io.burdockpin.core.client.ClientMessage;

/** Extracts the correlation number from a reply. */
final class ReplyCorrelation {

	private ReplyCorrelation() {
	}

	static Optional<Long> of(ClientMessage message) {
		if (message instanceof ClientMessage.ProposeReply reply) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.NotLeader reply) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.ProposalUnknown reply) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.ReadIndexReply reply) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.QueryReply reply) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.TokenGrants reply && reply.answersCall()) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.HolderForgotten reply) {
			return Optional.of(reply.correlation());
		}
		if (message instanceof ClientMessage.WorkerOrders reply) {
			return Optional.of(reply.correlation());
		}
		return Optional.empty();
	}

}
