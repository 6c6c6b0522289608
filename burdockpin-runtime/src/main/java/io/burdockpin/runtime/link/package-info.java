/** Framed TCP links between the system's own processes. */
package io.burdockpin.runtime.link;
