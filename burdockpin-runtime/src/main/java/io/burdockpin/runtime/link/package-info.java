/** Framed TCP links between the processes of the system, with optional mutual TLS. */
package io.burdockpin.runtime.link;
