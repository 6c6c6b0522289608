package io.burdockpin.runtime.http.socket;

/**
 * A complete response of an HTTP server.
 *
 * @param status the status
 * @param body the body
 * @param closesConnection whether the server closes the connection after it
 */
record HttpClientResponse(int status, byte[] body, boolean closesConnection) {

}
