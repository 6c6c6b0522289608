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
 * @param dataCentre data centre of this entry host
 * @param httpAddress listening address for callers, runners, workers and operators
 * @param peerAddress listening address for other entry hosts
 * @param peers the other entry hosts
 * @param members the control members, nearest first
 * @param limits limits on requests
 * @param timing periods and timeouts
 * @param policy how a runner is selected for a request
 * @param eventFile file that events are appended to; no events without it
 * @param eventFileBytes size at which the event file is rotated
 * @param requestEvents whether request and job events are recorded
 * @param dataFolder folder for the cached configuration and for uncommitted key
 * withdrawals; neither survives a restart without it
 * @param tls certificate, key and trusted authorities for links and caller connections;
 * without it they are unencrypted
 * @param requireRunnerTls whether runners that accept only unencrypted requests are
 * refused
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
			throw new InvalidValueException("requireRunnerTls is true, but the setting tls is missing");
		}
	}

	/**
	 * Returns the description of this entry host that its peers use.
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
	 * Returns the limits that admission checks requests against.
	 * @return the limits
	 */
	public AdmissionLimits admissionLimits() {
		return new AdmissionLimits(this.limits.bodyBytes(), this.limits.timeoutMillis(),
				this.timing.unverifiedKeyGraceSeconds() * 1000L,
				new RequestIdWindow(this.timing.claimWindowMillis(), this.timing.claimFutureMillis()));
	}

	/**
	 * Returns the round-trip times to other entry hosts, by data centre.
	 * @return the times that routing assumes
	 */
	public PeerRoundTripTimes peerRoundTripTimes() {
		return new PeerRoundTripTimes(this.timing.nearRoundTripMillis(), this.timing.farRoundTripMillis());
	}

	/**
	 * Returns which runners may attach, by the settings {@code tls} and
	 * {@code requireRunnerTls}.
	 * @return the policy
	 */
	public RunnerTlsPolicy runnerTlsPolicy() {
		if (this.tls.isEmpty()) {
			return RunnerTlsPolicy.PLAIN_ONLY;
		}
		return this.requireRunnerTls ? RunnerTlsPolicy.TLS_ONLY : RunnerTlsPolicy.EITHER;
	}

	private static AddressSettings required(String name, AddressSettings value) {
		if (value == null) {
			throw new InvalidValueException("the setting " + name + " is missing");
		}
		return value;
	}

}
