/**
 * HTTP/1.1 client and server on plain TCP sockets with one actor per connection, for
 * processes that hold many connections on a fraction of a core. Messages are parsed by
 * Apache HttpCore.
 */
package io.burdockpin.runtime.http.socket;
