package io.burdockpin.entry.cfg;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.admission.AdmissionLimits;
import io.burdockpin.core.admission.RequestIdWindow;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.routing.PeerRoundTripTimes;
import io.burdockpin.core.routing.RoutingPolicy;
import io.burdockpin.core.util.Checks;
import io.burdockpin.runtime.tls.TlsSettings;

/**
 * Settings of the entry program. Missing values get their defaults. Immutable.
 *
 * @param name name of this entry host
 * @param dataCentre where it stands
 * @param httpAddress where it takes callers, runners, workers and operators
 * @param peerAddress where it takes other entry hosts
 * @param peers the other entry hosts
 * @param members the control members, nearest first
 * @param limits limits on requests
 * @param timing periods and timeouts
 * @param policy how runners are chosen
 * @param eventFile where events are written
 * @param eventFileBytes size at which a new event file is started
 * @param requestEvents whether events of requests and jobs are written
 * @param dataFolder where the configuration is cached
 * @param tls certificate, key and trusted authorities of links and callers; plain without
 * it
 * @param requireRunnerTls whether runners that take requests without TLS are refused
 */
public record EntrySettings(String name, String dataCentre, AddressSettings httpAddress, AddressSettings peerAddress,
		List<PeerSettings> peers, List<MemberSettings> members, LimitSettings limits, TimingSettings timing,
		RoutingPolicy policy, Optional<String> eventFile, Long eventFileBytes, Boolean requestEvents,
		Optional<String> dataFolder, Optional<TlsSettings> tls, Boolean requireRunnerTls) {

	private static final long DEFAULT_EVENT_FILE_BYTES = 64L * 1024 * 1024;

	private static final long MAX_EVENT_FILE_BYTES = 16L * 1024 * 1024 * 1024;

	public EntrySettings {
		Checks.name("entry host", name);
		Checks.name("data centre", dataCentre);
		httpAddress = required("httpAddress", httpAddress);
		peerAddress = required("peerAddress", peerAddress);
		peers = (peers != null) ? List.copyOf(peers) : List.of();
		members = (members != null) ? List.copyOf(members) : List.of();
		Checks.range("number of members", members.size(), 1, 9);
		limits = (limits != null) ? limits : LimitSettings.defaults();
		timing = (timing != null) ? timing : TimingSettings.defaults();
		policy = (policy != null) ? policy : RoutingPolicy.NEAREST_THEN_LEAST_BUSY;
		eventFile = (eventFile != null) ? eventFile : Optional.empty();
		eventFileBytes = Checks.range("eventFileBytes",
				(eventFileBytes != null) ? eventFileBytes : DEFAULT_EVENT_FILE_BYTES, 4096, MAX_EVENT_FILE_BYTES);
		requestEvents = (requestEvents != null) ? requestEvents : Boolean.TRUE;
		dataFolder = (dataFolder != null) ? dataFolder : Optional.empty();
		tls = (tls != null) ? tls : Optional.empty();
		requireRunnerTls = (requireRunnerTls != null) ? requireRunnerTls : Boolean.FALSE;
		if (requireRunnerTls && tls.isEmpty()) {
			throw new InvalidValueException("requireRunnerTls needs the setting tls");
		}
	}

	/**
	 * Returns this entry host as its peers know it.
	 * @return name, data centre and HTTP address
	 */
	public PeerInfo self() {
		return new PeerInfo(new HostName(this.name), new DataCentre(this.dataCentre), this.httpAddress.hostAndPort());
	}

	/**
	 * Returns the other entry hosts.
	 * @return name, data centre and HTTP address of each
	 */
	public List<PeerInfo> peerInfos() {
		return this.peers.stream().map(PeerSettings::toPeerInfo).toList();
	}

	/**
	 * Returns the control members.
	 * @return their host names, nearest first
	 */
	public List<HostName> memberNames() {
		return this.members.stream().map((member) -> new HostName(member.name())).toList();
	}

	/**
	 * Returns the limits of admission.
	 * @return the limits
	 */
	public AdmissionLimits admissionLimits() {
		return new AdmissionLimits(this.limits.bodyBytes(), this.limits.timeoutMillis(),
				this.timing.unverifiedKeyGraceSeconds() * 1000L,
				new RequestIdWindow(this.timing.claimWindowMillis(), this.timing.claimFutureMillis()));
	}

	/**
	 * Returns the round trips to other entry hosts.
	 * @return the costs
	 */
	public PeerRoundTripTimes peerRoundTripTimes() {
		return new PeerRoundTripTimes(this.timing.nearRoundTripMillis(), this.timing.farRoundTripMillis());
	}

	/**
	 * Returns which runners are taken.
	 * @return the rule of the settings {@code tls} and {@code requireRunnerTls}
	 */
	public RunnerTlsPolicy runnerTlsPolicy() {
		if (this.tls.isEmpty()) {
			return RunnerTlsPolicy.PLAIN_ONLY;
		}
		return this.requireRunnerTls ? RunnerTlsPolicy.TLS_ONLY : RunnerTlsPolicy.EITHER;
	}

	private static AddressSettings required(String what, AddressSettings value) {
		if (value == null) {
			throw new InvalidValueException(what + " is missing");
		}
		return value;
	}

}
