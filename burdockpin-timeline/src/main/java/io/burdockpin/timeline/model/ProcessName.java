package io.burdockpin.timeline.model;

import java.util.Comparator;

/**
 * A process with one lane on the time line. Its incarnations share the lane.
 *
 * @param program the program
 * @param host the host it runs on
 * @param dataCentre the data centre of the host
 */
public record ProcessName(String program, String host, String dataCentre) implements Comparable<ProcessName> {

	private static final Comparator<ProcessName> ORDER = Comparator.comparing(ProcessName::dataCentre)
		.thenComparing(ProcessName::program)
		.thenComparing(ProcessName::host);

	@Override
	public int compareTo(ProcessName other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.program + "@" + this.host + "/" + this.dataCentre;
	}

}
