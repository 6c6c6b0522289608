package io.burdockpin.batch;

import io.burdockpin.batch.port.FrontEnd;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.RunnerChannel;
import org.apache.pekko.actor.typed.Behavior;

/**
 * Adapters that connect the batch scheduler to its environment. Immutable.
 *
 * @param frontEnd creates the listeners for callers, runners and operators
 * @param runners creates the channels to runners
 * @param hosts the channel that sends orders about hosts to the platform
 */
public record BatchPorts(FrontEnd.Factory frontEnd, RunnerChannel.Factory runners,
		Behavior<HostChannel.Command> hosts) {

}
