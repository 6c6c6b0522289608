package io.burdockpin.runtime.tls;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

import javax.net.ssl.SSLEngine;

/**
 * The identity that new connections use. Written only by the {@link CertificateWatcher};
 * read by the engine factories of the TLS libraries, which cannot wait for the answer of
 * an actor. Holds one reference to an immutable identity.
 */
public final class ReloadableTlsIdentity {

	private final TlsSettings settings;

	private final String host;

	private final AtomicReference<TlsIdentity> identity;

	/**
	 * Loads and checks the files.
	 * @param settings where they are
	 * @param host the host that the certificate has to name
	 */
	public ReloadableTlsIdentity(TlsSettings settings, String host) {
		this.settings = settings;
		this.host = host;
		this.identity = new AtomicReference<>(load());
	}

	// access

	/**
	 * Returns the settings.
	 * @return where the files are
	 */
	public TlsSettings settings() {
		return this.settings;
	}

	/**
	 * Returns the identity of new connections.
	 * @return the identity
	 */
	public TlsIdentity identity() {
		return this.identity.get();
	}

	/**
	 * Creates the engine of an accepted link.
	 * @return an engine that asks the peer for a trusted certificate
	 */
	public SSLEngine listenerEngine() {
		SSLEngine engine = callerEngine();
		engine.setNeedClientAuth(true);
		return engine;
	}

	/**
	 * Creates the engine of an accepted caller.
	 * @return an engine that asks for no certificate; keys tell the teams apart
	 */
	public SSLEngine callerEngine() {
		SSLEngine engine = identity().context().createSSLEngine();
		engine.setUseClientMode(false);
		return engine;
	}

	/**
	 * Creates the engine of an outgoing link.
	 * @return an engine that leaves the check of the host name to its user
	 */
	public SSLEngine connectorEngine() {
		SSLEngine engine = identity().context().createSSLEngine();
		engine.setUseClientMode(true);
		return engine;
	}

	// changes

	boolean hasChangedFiles() {
		return !TlsIdentity.digestOf(this.settings).equals(identity().digest());
	}

	void reload() {
		this.identity.set(load());
	}

	private TlsIdentity load() {
		return TlsIdentity.load(this.settings, this.host, Instant.now());
	}

}
