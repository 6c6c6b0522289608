/**
 * A task that owns the listening sockets of a process, the connections that they accept
 * and outgoing connections. It does not need an actor system, so a process can listen
 * before it has one.
 */
package io.burdockpin.runtime.socket;
