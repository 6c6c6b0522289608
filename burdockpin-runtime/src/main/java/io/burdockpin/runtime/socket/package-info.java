/**
 * A task that owns the listening sockets of a process and the connections that they
 * accept. It does not need an actor system, so a process can listen before it has one.
 */
package io.burdockpin.runtime.socket;
