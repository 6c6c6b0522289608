package io.burdockpin.runtime.tls;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

import javax.net.ssl.SSLEngine;

/**
 * The TLS identity of new connections, which can be reloaded from its files. Written only
 * by {@link CertificateWatcher}; read by the engine factories of the TLS libraries, which
 * cannot wait for the reply of an actor. Thread-safe: holds one atomic reference to an
 * immutable identity.
 */
public final class ReloadableTlsIdentity {

	private final TlsSettings settings;

	private final String host;

	private final AtomicReference<TlsIdentity> identity;

	/**
	 * Loads and validates the files.
	 * @param settings the locations of the files
	 * @param host the host that the certificate must name
	 */
	public ReloadableTlsIdentity(TlsSettings settings, String host) {
		this.settings = settings;
		this.host = host;
		this.identity = new AtomicReference<>(load());
	}

	// access

	/**
	 * Returns the settings.
	 * @return the locations of the files
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
	 * Creates an engine for an accepted link.
	 * @return an engine that requires a trusted certificate of the peer
	 */
	public SSLEngine listenerEngine() {
		SSLEngine engine = callerEngine();
		engine.setNeedClientAuth(true);
		return engine;
	}

	/**
	 * Creates an engine for the connection of a caller.
	 * @return an engine that requests no client certificate, because teams authenticate
	 * with API keys
	 */
	public SSLEngine callerEngine() {
		SSLEngine engine = identity().context().createSSLEngine();
		engine.setUseClientMode(false);
		return engine;
	}

	/**
	 * Creates an engine for an outgoing link.
	 * @return an engine that does not check the host name; the caller has to
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
