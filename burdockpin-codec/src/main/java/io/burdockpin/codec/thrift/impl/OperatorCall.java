package io.burdockpin.codec.thrift.impl;

import io.burdockpin.core.operator.OperatorRequest;

/**
 * A decoded call of {@code OperatorService}. The reply repeats its method and sequence
 * number.
 *
 * @param method the called method
 * @param sequence sequence number that the caller chose
 * @param request the argument of the call
 */
public record OperatorCall(OperatorMethod method, int sequence, OperatorRequest request) {

}
