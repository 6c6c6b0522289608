package io.burdockpin.runtime.service;

import java.util.concurrent.CompletionStage;

/**
 * Something with a life cycle. Started and stopped once, by its owner.
 */
public interface Service {

	/**
	 * Starts the service.
	 * @return completes when the service is ready, or fails with a
	 * {@link io.burdockpin.runtime.service.StartException}
	 */
	CompletionStage<Void> start();

	/**
	 * Stops the service gracefully.
	 * @return completes when all work in flight has ended
	 */
	CompletionStage<Void> stop();

}
