package io.burdockpin.batch;

import io.burdockpin.batch.port.FrontEnd;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.RunnerChannel;
import org.apache.pekko.actor.typed.Behavior;

/**
 * What a front end provides. Immutable.
 *
 * @param frontEnd creates the listeners for callers, runners and operators
 * @param runners creates channels to runners
 * @param hosts takes orders about hosts
 */
public record BatchPorts(FrontEnd.Factory frontEnd, RunnerChannel.Factory runners,
		Behavior<HostChannel.Command> hosts) {

}
