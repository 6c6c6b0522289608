/**
 * HTTP/1.1 directly over sockets, one actor a connection, for processes that open or
 * accept many connections on a small share of a core. The messages are parsed by a
 * library.
 */
package io.burdockpin.runtime.http.socket;
