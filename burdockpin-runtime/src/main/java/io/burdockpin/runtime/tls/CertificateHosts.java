package io.burdockpin.runtime.tls;

import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** Extracts the host names of certificates. Stateless. */
public final class CertificateHosts {

	/** Type of a DNS name among the subject alternative names (RFC 5280). */
	private static final Integer DNS_NAME = 2;

	private CertificateHosts() {
	}

	/**
	 * Returns the hosts that the certificate of a peer names, after checking that it is
	 * valid now. TLS does not check this when it resumes a session.
	 * @param session the session after its handshake
	 * @return the names
	 * @throws TlsException if the peer has no valid certificate
	 */
	public static Set<String> of(SSLSession session) {
		try {
			Certificate certificate = session.getPeerCertificates()[0];
			X509Certificate peerCertificate = (X509Certificate) certificate;
			peerCertificate.checkValidity();
			return of(peerCertificate);
		}
		catch (SSLPeerUnverifiedException | CertificateException ex) {
			throw new TlsException("peer has no valid certificate: " + ex.getMessage(), ex);
		}
	}

	static Set<String> of(X509Certificate certificate) {
		try {
			return Optional.ofNullable(certificate.getSubjectAlternativeNames())
				.stream()
				.flatMap(Collection::stream)
				.filter((name) -> DNS_NAME.equals(name.get(0)))
				.map((List<?> name) -> String.valueOf(name.get(1)))
				.collect(Collectors.toUnmodifiableSet());
		}
		catch (CertificateParsingException ex) {
			return Set.of();
		}
	}

}
