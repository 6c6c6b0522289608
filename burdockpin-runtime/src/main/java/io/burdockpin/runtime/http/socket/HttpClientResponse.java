package io.burdockpin.runtime.http.socket;

/**
 * A complete response that the client has received.
 *
 * @param status the status code
 * @param body the body, which is empty if there is none
 * @param closesConnection whether the server closes the connection after it
 */
record HttpClientResponse(int status, byte[] body, boolean closesConnection) {

}
