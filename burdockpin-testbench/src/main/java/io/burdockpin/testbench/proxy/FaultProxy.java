package io.burdockpin.testbench.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.burdockpin.testbench.program.EndPoint;
import org.netcrusher.core.reactor.NioReactor;
import org.netcrusher.core.throttle.Throttler;
import org.netcrusher.tcp.TcpCrusher;
import org.netcrusher.tcp.TcpCrusherBuilder;

/**
 * A TCP proxy between one address and one target that can inject faults. After a one-way
 * cut the byte stream has a hole, so that its connections are reset when the fault ends.
 * Owned by one thread or actor; the reactor thread of the library only reads the current
 * fault.
 */
public final class FaultProxy implements AutoCloseable {

	private final NioReactor reactor;

	private final TcpCrusher crusher;

	private volatile Fault fault = Fault.NONE;

	private volatile long delayMillis;

	/**
	 * Opens a proxy.
	 * @param listen where it accepts connections, with a port other than 0
	 * @param target where it connects to
	 * @throws UncheckedIOException if it cannot listen
	 */
	public FaultProxy(EndPoint listen, EndPoint target) {
		try {
			this.reactor = new NioReactor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.crusher = TcpCrusherBuilder.builder()
			.withReactor(this.reactor)
			.withBindAddress(listen.host(), listen.port())
			.withConnectAddress(target.host(), target.port())
			.withTcpNoDelay(true)
			.withOutgoingTransformFilterFactory((address) -> (bytes) -> dropIf(Fault::dropsToTarget, bytes))
			.withIncomingTransformFilterFactory((address) -> (bytes) -> dropIf(Fault::dropsToClient, bytes))
			.withOutgoingThrottlerFactory((address) -> (bytes) -> delayNanos())
			.withIncomingThrottlerFactory((address) -> (bytes) -> delayNanos())
			.build();
		this.crusher.open();
	}

	// life cycle

	@Override
	public void close() {
		this.crusher.close();
		this.reactor.close();
	}

	// configuration

	/**
	 * Switches to a fault.
	 * @param newFault the fault
	 */
	public void inject(Fault newFault) {
		boolean streamsHaveHoles = this.fault.dropsToTarget() || this.fault.dropsToClient();
		this.fault = newFault;
		if (streamsHaveHoles && this.crusher.isOpen()) {
			this.crusher.closeAllPairs();
		}
		newFault.apply(this.crusher);
	}

	/**
	 * Switches to a delay in both directions.
	 * @param millis the delay of each chunk in milliseconds
	 */
	public void delay(long millis) {
		this.delayMillis = millis;
		inject(Fault.DELAY);
	}

	// access

	/**
	 * Returns the current fault.
	 * @return the fault
	 */
	public Fault fault() {
		return this.fault;
	}

	/**
	 * Returns the address that the proxy listens on.
	 * @return the address
	 */
	public EndPoint address() {
		return new EndPoint(this.crusher.getBindAddress().getAddress().getHostAddress(),
				this.crusher.getBindAddress().getPort());
	}

	// helpers

	private void dropIf(Predicate<Fault> drops, ByteBuffer bytes) {
		if (drops.test(this.fault)) {
			bytes.limit(bytes.position());
		}
	}

	private long delayNanos() {
		return this.fault.delays() ? TimeUnit.MILLISECONDS.toNanos(this.delayMillis) : Throttler.NO_DELAY_NS;
	}

}
