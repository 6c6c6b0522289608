/** TLS with key stores and passwords from files. */
package io.burdockpin.runtime.tls;
