/** The event file of a process. */
package io.burdockpin.runtime.event;
