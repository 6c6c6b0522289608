package io.burdockpin.runtime.http.socket;

/**
 * A complete response of an HTTP server.
 *
 * @param status the status
 * @param body the body
 * @param isLast whether the server closes the connection after it
 */
record HttpAnswer(int status, byte[] body, boolean isLast) {

}
