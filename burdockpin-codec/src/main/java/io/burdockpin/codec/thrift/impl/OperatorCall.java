package io.burdockpin.codec.thrift.impl;

import io.burdockpin.core.operator.OperatorRequest;

/**
 * A decoded call of {@code OperatorService}. Its method and sequence number go into the
 * reply.
 *
 * @param method the method
 * @param sequence the caller's number of the call
 * @param request the request
 */
public record OperatorCall(OperatorMethod method, int sequence, OperatorRequest request) {

}
