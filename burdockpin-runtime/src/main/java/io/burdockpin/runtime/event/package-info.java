/** Actors that write the events of a process to a file or a stream. */
package io.burdockpin.runtime.event;
