package io.burdockpin.core.state;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;

/** The registered incarnations of entry hosts. Mutable and owned by the state machine. */
final class HolderTable {

	static final Comparator<Holder> ORDER = Comparator.comparing(Holder::host).thenComparing(Holder::incarnation);

	private final Map<Holder, HolderRecord> holders = new TreeMap<>(ORDER);

	// life cycle

	HolderTable restore(List<HolderRecord> restored) {
		restored.forEach(this::put);
		return this;
	}

	// access

	Optional<HolderRecord> find(Holder holder) {
		return Optional.ofNullable(this.holders.get(holder));
	}

	List<HolderRecord> incarnationsOf(HostName host) {
		return this.holders.values()
			.stream()
			.filter((incarnation) -> incarnation.holder().host().equals(host))
			.toList();
	}

	List<HolderRecord> list() {
		return List.copyOf(this.holders.values());
	}

	// changes

	void put(HolderRecord changed) {
		this.holders.put(changed.holder(), changed);
	}

	void block(HolderRecord incarnation) {
		put(new HolderRecord(incarnation.holder(), incarnation.dataCentre(), true));
	}

	void remove(Holder holder) {
		this.holders.remove(holder);
	}

}
