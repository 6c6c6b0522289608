package io.burdockpin.systemtest.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.proxy.Fault;
import io.burdockpin.testbench.proxy.FaultProxy;

/**
 * The fault proxies of a fleet, one for each pair of connecting and listening program.
 * Owned by one test.
 */
public final class FaultLinks implements AutoCloseable {

	private final List<Link> links = new ArrayList<>();

	private final AddressPlan addresses;

	FaultLinks(AddressPlan addresses) {
		this.addresses = addresses;
	}

	// life cycle

	@Override
	public void close() {
		this.links.forEach((link) -> link.proxy().close());
	}

	// configuration

	EndPoint connect(String from, String to, EndPoint target) {
		EndPoint listen = this.addresses.next(from);
		this.links.add(new Link(from, to, new FaultProxy(listen, target)));
		return listen;
	}

	/**
	 * Drops everything between two groups of hosts without closing a connection.
	 * @param left the hosts on one side
	 * @param right the hosts on the other side
	 */
	public void cut(Collection<String> left, Collection<String> right) {
		between(left, right, (proxy) -> proxy.inject(Fault.CUT_BOTH));
		between(right, left, (proxy) -> proxy.inject(Fault.CUT_BOTH));
	}

	/**
	 * Drops what one group of hosts sends to another without closing a connection.
	 * @param senders the hosts whose bytes are dropped
	 * @param receivers the hosts that hear nothing
	 */
	public void cutOneWay(Collection<String> senders, Collection<String> receivers) {
		between(senders, receivers, (proxy) -> proxy.inject(Fault.CUT_TO_TARGET));
		between(receivers, senders, (proxy) -> proxy.inject(Fault.CUT_TO_CLIENT));
	}

	/** Ends all faults. Connections with holes are reset. */
	public void heal() {
		this.links.forEach((link) -> link.proxy().inject(Fault.NONE));
	}

	/** Closes all connections once. */
	public void reset() {
		this.links.forEach((link) -> link.proxy().inject(Fault.RESET));
	}

	/**
	 * Delays everything on all links.
	 * @param millis the delay in milliseconds
	 */
	public void delay(long millis) {
		this.links.forEach((link) -> link.proxy().delay(millis));
	}

	// helpers

	private void between(Collection<String> from, Collection<String> to, Consumer<FaultProxy> change) {
		this.links.stream()
			.filter((link) -> from.contains(link.from()) && to.contains(link.to()))
			.forEach((link) -> change.accept(link.proxy()));
	}

	private record Link(String from, String to, FaultProxy proxy) {

	}

}
