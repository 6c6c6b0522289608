package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.codec.thrift.generated.operator.OperatorFailure;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;

/**
 * Codec for the client and server side of {@code OperatorService} over HTTP. It only
 * converts messages and never blocks: the server decodes a call, an actor provides the
 * reply, and the server encodes it. Immutable.
 */
public final class ThriftOperatorCodec {

	private static final String REQUEST = "request";

	private static final String SUCCESS = "success";

	private static final String FAILURE = "failure";

	private final ValueMapping failure = new MappingFactory().struct(OperatorReply.Failed.class, OperatorFailure.class);

	/**
	 * Decodes the body of an HTTP request of an operator.
	 * @param bytes a message in the binary protocol
	 * @return the call
	 * @throws CodecException with code {@code DECODE_FAILED} if the body is malformed
	 */
	public OperatorCall decodeCall(byte[] bytes) {
		return ServiceMessages.read(bytes, this::readCall);
	}

	/**
	 * Encodes the body of an HTTP response.
	 * @param call the call to which it replies
	 * @param reply the reply
	 * @return a message in the binary protocol
	 */
	public byte[] encodeReply(OperatorCall call, OperatorReply reply) {
		OperatorMethod method = call.method();
		TBase<?, TFieldIdEnum> result = method.result().create();
		if (reply instanceof OperatorReply.Failed) {
			set(result, method.result(), FAILURE, this.failure.toThrift(reply));
		}
		else if (method.repliesWith(reply)) {
			set(result, method.result(), SUCCESS, method.reply().toThrift(reply));
		}
		else {
			throw CodecException.unsupported(
					"method %s does not reply with %s".formatted(method.methodName(), reply.getClass().getSimpleName()),
					null);
		}
		return ServiceMessages.write(new TMessage(method.methodName(), TMessageType.REPLY, call.sequence()), result);
	}

	/**
	 * Encodes the body of an HTTP request, for clients.
	 * @param sequence sequence number of the call
	 * @param request the argument of the call
	 * @return a message in the binary protocol
	 */
	public byte[] encodeCall(int sequence, OperatorRequest request) {
		OperatorMethod method = OperatorMethod.of(request);
		TBase<?, TFieldIdEnum> arguments = method.arguments().create();
		set(arguments, method.arguments(), REQUEST, method.request().toThrift(request));
		return ServiceMessages.write(new TMessage(method.methodName(), TMessageType.CALL, sequence), arguments);
	}

	/**
	 * Decodes the body of an HTTP response, for clients.
	 * @param bytes a message in the binary protocol
	 * @return the reply
	 * @throws CodecException with code {@code DECODE_FAILED} if the body is malformed
	 */
	public OperatorReply decodeReply(byte[] bytes) {
		return ServiceMessages.read(bytes, this::readReply);
	}

	private OperatorCall readCall(TProtocol protocol, TMessage header) throws TException {
		ServiceMessages.checkType(protocol, header, TMessageType.CALL);
		OperatorMethod method = method(header);
		TBase<?, TFieldIdEnum> arguments = ServiceMessages.readBody(protocol, method.arguments());
		Object request = get(arguments, method.arguments(), REQUEST);
		return new OperatorCall(method, header.seqid, (OperatorRequest) method.request().toCore(request));
	}

	private OperatorReply readReply(TProtocol protocol, TMessage header) throws TException {
		ServiceMessages.checkType(protocol, header, TMessageType.REPLY);
		OperatorMethod method = method(header);
		TBase<?, TFieldIdEnum> result = ServiceMessages.readBody(protocol, method.result());
		if (result.isSet(field(method.result(), FAILURE))) {
			return (OperatorReply) this.failure.toCore(get(result, method.result(), FAILURE));
		}
		return (OperatorReply) method.reply().toCore(get(result, method.result(), SUCCESS));
	}

	private static OperatorMethod method(TMessage header) {
		return OperatorMethod.findByName(header.name)
			.orElseThrow(() -> CodecException.malformed("unknown method of OperatorService", null));
	}

	private static void set(TBase<?, TFieldIdEnum> target, ThriftType<?> type, String name, Object value) {
		target.setFieldValue(field(type, name), value);
	}

	private static Object get(TBase<?, TFieldIdEnum> source, ThriftType<?> type, String name) {
		TFieldIdEnum field = field(type, name);
		if (!source.isSet(field)) {
			throw CodecException.malformed("field %s is missing".formatted(name), null);
		}
		return source.getFieldValue(field);
	}

	private static TFieldIdEnum field(ThriftType<?> type, String name) {
		return type.field(name)
			.orElseThrow(() -> CodecException.unsupported("Thrift type %s has no field %s".formatted(type.name(), name),
					null));
	}

}
