package io.burdockpin.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.ConfigurationCommand;

/**
 * Follows the configuration feed of one control member at a time. The index never goes
 * back. After a start nothing is in force until the configuration is as new as the
 * leader's read index, or until no leader can be asked. Mutable; owned by one actor.
 */
public final class ConfigurationFeed {

	/** Heartbeats come every second. */
	private static final long SILENT_AFTER_MILLIS = 3000;

	private final List<HostName> members;

	private final DataCentre ownDataCentre;

	private final Set<HostName> connected = new TreeSet<>();

	private ConfigurationView configuration = ConfigurationView.EMPTY;

	private Optional<HostName> followed = Optional.empty();

	private long heardMillis;

	private boolean started;

	private Optional<Long> neededIndex = Optional.empty();

	private Optional<Confirmation> openConfirmation = Optional.empty();

	/**
	 * Creates a feed without a configuration.
	 * @param members the members, nearest first
	 * @param ownDataCentre where this entry host stands
	 */
	public ConfigurationFeed(List<HostName> members, DataCentre ownDataCentre) {
		this.members = List.copyOf(members);
		this.ownDataCentre = ownDataCentre;
	}

	// life cycle

	/**
	 * Takes note of a new connection to a member.
	 * @param member the member
	 * @param nowMillis the current time
	 * @return the effects
	 */
	public List<FeedEffect> connected(HostName member, long nowMillis) {
		this.connected.add(member);
		return this.followed.isPresent() ? List.of() : follow(Optional.of(member), nowMillis);
	}

	/**
	 * Takes note of a lost connection to a member.
	 * @param member the member
	 * @param nowMillis the current time
	 * @return the effects
	 */
	public List<FeedEffect> disconnected(HostName member, long nowMillis) {
		this.connected.remove(member);
		return this.followed.equals(Optional.of(member)) ? follow(nextMember(member), nowMillis) : List.of();
	}

	/**
	 * Takes note of a feed message.
	 * @param member the sender
	 * @param message the message
	 * @param nowMillis the current time
	 * @return the effects
	 */
	public List<FeedEffect> received(HostName member, ClientMessage message, long nowMillis) {
		if (this.followed.equals(Optional.of(member))) {
			this.heardMillis = nowMillis;
		}
		if (message instanceof ClientMessage.FeedSnapshot snapshot) {
			return replace(ConfigurationView.of(snapshot.configuration()));
		}
		if (message instanceof ClientMessage.FeedUpdate update) {
			return update(member, update);
		}
		if (message instanceof ClientMessage.FeedHeartbeat heartbeat) {
			return heartbeat(member, heartbeat, nowMillis);
		}
		return List.of();
	}

	/**
	 * Takes note of the configuration that another entry host has.
	 * @param offered the configuration
	 * @return the effects
	 */
	public List<FeedEffect> offered(ConfigurationView offered) {
		return replace(offered);
	}

	/**
	 * Takes note of the leader's read index after a start.
	 * @param index index of the newest configuration change
	 * @return the effects
	 */
	public List<FeedEffect> readIndexKnown(long index) {
		this.neededIndex = Optional.of(index);
		return publish();
	}

	/**
	 * Takes note that no leader can be asked for its read index.
	 * @return the effects
	 */
	public List<FeedEffect> readIndexUnknown() {
		this.neededIndex = this.neededIndex.or(() -> Optional.of(1L));
		return publish();
	}

	/**
	 * Takes note of the leader's read index after a pause of the process.
	 * @param pause number of the pause
	 * @param index index of the newest configuration change, or nothing if no leader
	 * could be asked; then the configuration is used as during a cut
	 * @return the effects
	 */
	public List<FeedEffect> readIndexAfterPause(long pause, OptionalLong index) {
		this.openConfirmation = Optional.of(new Confirmation(pause, index.orElse(0)));
		return confirmed();
	}

	/**
	 * Follows another member if the current one is silent.
	 * @param nowMillis the current time
	 * @return the effects
	 */
	public List<FeedEffect> tick(long nowMillis) {
		if (this.followed.isPresent() && nowMillis - this.heardMillis >= SILENT_AFTER_MILLIS) {
			return follow(nextMember(this.followed.get()), nowMillis);
		}
		return List.of();
	}

	// access

	/**
	 * Returns the newest configuration, whether or not it is in force.
	 * @return the configuration
	 */
	public ConfigurationView configuration() {
		return this.configuration;
	}

	// helpers

	private List<FeedEffect> follow(Optional<HostName> member, long nowMillis) {
		this.followed = member;
		this.heardMillis = nowMillis;
		return member.map(this::subscribe).orElseGet(List::of);
	}

	private List<FeedEffect> subscribe(HostName member) {
		return List.of(new FeedEffect.Send(member,
				new ClientMessage.Subscribe(this.ownDataCentre, this.configuration.index())));
	}

	private Optional<HostName> nextMember(HostName member) {
		List<HostName> reachable = this.members.stream().filter(this.connected::contains).toList();
		if (reachable.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(reachable.get((reachable.indexOf(member) + 1) % reachable.size()));
	}

	private List<FeedEffect> replace(ConfigurationView newer) {
		if (newer.index() <= this.configuration.index()) {
			return publish();
		}
		this.configuration = newer;
		return publish();
	}

	private List<FeedEffect> update(HostName member, ClientMessage.FeedUpdate update) {
		if (update.index() <= this.configuration.index()) {
			return List.of();
		}
		if (update.previousIndex() > this.configuration.index()) {
			return subscribe(member);
		}
		if (update.proposal().command() instanceof ConfigurationCommand command) {
			this.configuration = this.configuration.with(update.index(), command);
		}
		return publish();
	}

	private List<FeedEffect> heartbeat(HostName member, ClientMessage.FeedHeartbeat heartbeat, long nowMillis) {
		List<FeedEffect> effects = new ArrayList<>();
		if (heartbeat.majorityReachable()) {
			effects.add(new FeedEffect.MajorityHeard());
			if (heartbeat.configurationIndex() > this.configuration.index()) {
				effects.addAll(subscribe(member));
			}
		}
		else if (this.followed.equals(Optional.of(member))) {
			effects.addAll(follow(nextMember(member), nowMillis));
		}
		return effects;
	}

	private List<FeedEffect> publish() {
		this.started |= this.neededIndex.isPresent() && this.configuration.index() >= this.neededIndex.get();
		if (!this.started) {
			return List.of();
		}
		List<FeedEffect> effects = new ArrayList<>();
		effects.add(new FeedEffect.InForce(this.configuration));
		this.followed.ifPresent((member) -> effects
			.add(new FeedEffect.Send(member, new ClientMessage.FeedAcknowledgement(this.configuration.index()))));
		effects.addAll(confirmed());
		return effects;
	}

	private List<FeedEffect> confirmed() {
		Optional<Confirmation> reached = this.openConfirmation
			.filter((confirmation) -> this.configuration.index() >= confirmation.index());
		if (reached.isPresent()) {
			this.openConfirmation = Optional.empty();
		}
		return reached.<List<FeedEffect>>map((confirmation) -> List.of(new FeedEffect.Confirmed(confirmation.pause())))
			.orElseGet(List::of);
	}

	private record Confirmation(long pause, long index) {

	}

}
