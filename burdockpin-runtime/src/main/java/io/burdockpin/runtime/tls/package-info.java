/** TLS with certificates, keys and trusted authorities from PEM files. */
package io.burdockpin.runtime.tls;
