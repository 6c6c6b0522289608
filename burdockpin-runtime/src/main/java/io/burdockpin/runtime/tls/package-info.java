/** TLS identities from PEM files, with reload of changed files. */
package io.burdockpin.runtime.tls;
