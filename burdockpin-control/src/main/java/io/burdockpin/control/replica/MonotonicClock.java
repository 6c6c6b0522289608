package io.burdockpin.control.replica;

/** A clock that never goes back and goes on while the process is frozen. */
@FunctionalInterface
public interface MonotonicClock {

	/** The clock of the virtual machine. */
	MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

	/**
	 * Returns the time.
	 * @return milliseconds since an arbitrary moment
	 */
	long nowMillis();

}
