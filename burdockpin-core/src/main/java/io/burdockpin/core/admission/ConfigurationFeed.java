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
 * Follows the configuration feed of one control member at a time. The index of the
 * configuration never decreases. After a start, no configuration is active until it is as
 * new as the leader's read index, or until it is known that no leader can be reached.
 * Mutable, owned by one actor.
 */
public final class ConfigurationFeed {

	/** Three periods of the heartbeat, which is sent every second. */
	private static final long CONTACT_TIMEOUT_MILLIS = 3000;

	private final List<HostName> members;

	private final DataCentre localDataCentre;

	private final Set<HostName> connectedMembers = new TreeSet<>();

	private ConfigurationView configuration = ConfigurationView.EMPTY;

	private Optional<HostName> followedMember = Optional.empty();

	private long lastContactMillis;

	private boolean active;

	private Optional<Long> requiredIndex = Optional.empty();

	private Optional<Confirmation> pendingConfirmation = Optional.empty();

	/**
	 * Creates a feed without a configuration.
	 * @param members the control members, nearest first
	 * @param localDataCentre data centre of this entry host
	 */
	public ConfigurationFeed(List<HostName> members, DataCentre localDataCentre) {
		this.members = List.copyOf(members);
		this.localDataCentre = localDataCentre;
	}

	// life cycle

	/**
	 * Handles a new connection to a member.
	 * @param member the member
	 * @param nowMillis the current time
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onConnected(HostName member, long nowMillis) {
		this.connectedMembers.add(member);
		return this.followedMember.isPresent() ? List.of() : follow(Optional.of(member), nowMillis);
	}

	/**
	 * Handles the loss of the connection to a member.
	 * @param member the member
	 * @param nowMillis the current time
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onDisconnected(HostName member, long nowMillis) {
		this.connectedMembers.remove(member);
		return this.followedMember.equals(Optional.of(member)) ? follow(nextMember(member), nowMillis) : List.of();
	}

	/**
	 * Handles a feed message.
	 * @param member the sender
	 * @param message the message; ignored if it does not belong to the feed
	 * @param nowMillis the current time
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onMessage(HostName member, ClientMessage message, long nowMillis) {
		if (this.followedMember.equals(Optional.of(member))) {
			this.lastContactMillis = nowMillis;
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
	 * Handles the configuration of another entry host.
	 * @param configuration the configuration; ignored if it is not newer
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onPeerConfiguration(ConfigurationView configuration) {
		return replace(configuration);
	}

	/**
	 * Handles the leader's read index after a start.
	 * @param index log index of the newest configuration change
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onReadIndex(long index) {
		this.requiredIndex = Optional.of(index);
		return publish();
	}

	/**
	 * Handles the result that no leader can be reached for its read index after a start.
	 * Any received configuration is then new enough, unless the read index is known.
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onReadIndexUnavailable() {
		this.requiredIndex = this.requiredIndex.or(() -> Optional.of(1L));
		return publish();
	}

	/**
	 * Handles the leader's read index after a pause of the process.
	 * @param pause number of the pause
	 * @param index log index of the newest configuration change, empty if no leader could
	 * be reached; the configuration is then used as during a network partition
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> onReadIndexAfterPause(long pause, OptionalLong index) {
		this.pendingConfirmation = Optional.of(new Confirmation(pause, index.orElse(0)));
		return completeConfirmation();
	}

	/**
	 * Follows another member if the current one has sent nothing for too long.
	 * @param nowMillis the current time
	 * @return effects to execute, in this order
	 */
	public List<FeedEffect> tick(long nowMillis) {
		if (this.followedMember.isPresent() && nowMillis - this.lastContactMillis >= CONTACT_TIMEOUT_MILLIS) {
			return follow(nextMember(this.followedMember.get()), nowMillis);
		}
		return List.of();
	}

	// access

	/**
	 * Returns the newest configuration, which may not be active yet.
	 * @return the configuration, empty before the first one is received
	 */
	public ConfigurationView configuration() {
		return this.configuration;
	}

	// helpers

	private List<FeedEffect> follow(Optional<HostName> member, long nowMillis) {
		this.followedMember = member;
		this.lastContactMillis = nowMillis;
		return member.map(this::subscribe).orElseGet(List::of);
	}

	private List<FeedEffect> subscribe(HostName member) {
		return List.of(new FeedEffect.Send(member,
				new ClientMessage.Subscribe(this.localDataCentre, this.configuration.index())));
	}

	private Optional<HostName> nextMember(HostName member) {
		List<HostName> reachable = this.members.stream().filter(this.connectedMembers::contains).toList();
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
			effects.add(new FeedEffect.MajorityContact());
			if (heartbeat.configurationIndex() > this.configuration.index()) {
				effects.addAll(subscribe(member));
			}
		}
		else if (this.followedMember.equals(Optional.of(member))) {
			effects.addAll(follow(nextMember(member), nowMillis));
		}
		return effects;
	}

	private List<FeedEffect> publish() {
		this.active |= this.requiredIndex.isPresent() && this.configuration.index() >= this.requiredIndex.get();
		if (!this.active) {
			return List.of();
		}
		List<FeedEffect> effects = new ArrayList<>();
		effects.add(new FeedEffect.Activate(this.configuration));
		this.followedMember.ifPresent((member) -> effects
			.add(new FeedEffect.Send(member, new ClientMessage.FeedAcknowledgement(this.configuration.index()))));
		effects.addAll(completeConfirmation());
		return effects;
	}

	private List<FeedEffect> completeConfirmation() {
		Optional<Confirmation> reached = this.pendingConfirmation
			.filter((confirmation) -> this.configuration.index() >= confirmation.index());
		if (reached.isPresent()) {
			this.pendingConfirmation = Optional.empty();
		}
		return reached.<List<FeedEffect>>map((confirmation) -> List.of(new FeedEffect.Confirmed(confirmation.pause())))
			.orElseGet(List::of);
	}

	private record Confirmation(long pause, long index) {

	}

}
