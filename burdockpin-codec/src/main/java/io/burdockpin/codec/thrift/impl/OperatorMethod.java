package io.burdockpin.codec.thrift.impl;

import java.util.Arrays;
import java.util.Optional;

import io.burdockpin.codec.thrift.generated.operator.Answered;
import io.burdockpin.codec.thrift.generated.operator.Ask;
import io.burdockpin.codec.thrift.generated.operator.Change;
import io.burdockpin.codec.thrift.generated.operator.ChangeMember;
import io.burdockpin.codec.thrift.generated.operator.Changed;
import io.burdockpin.codec.thrift.generated.operator.ForgetHolder;
import io.burdockpin.codec.thrift.generated.operator.OperatorService;
import io.burdockpin.codec.thrift.generated.operator.WithdrawKey;
import io.burdockpin.codec.thrift.generated.operator.Withdrawn;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import org.apache.thrift.TBase;

/** The methods of {@code OperatorService} with their request and reply types. */
public enum OperatorMethod {

	/** Changes the configuration, a campaign or a job. */
	CHANGE("change", OperatorRequest.Change.class, Change.class, OperatorReply.Changed.class, Changed.class,
			OperatorService.change_args.class, OperatorService.change_result.class),

	/** Queries records. */
	ASK("ask", OperatorRequest.Ask.class, Ask.class, OperatorReply.Answered.class, Answered.class,
			OperatorService.ask_args.class, OperatorService.ask_result.class),

	/** Changes the members of the control group. */
	CHANGE_MEMBER("changeMember", OperatorRequest.ChangeMember.class, ChangeMember.class, OperatorReply.Changed.class,
			Changed.class, OperatorService.changeMember_args.class, OperatorService.changeMember_result.class),

	/** Withdraws a team key permanently. */
	WITHDRAW_KEY("withdrawKey", OperatorRequest.WithdrawKey.class, WithdrawKey.class, OperatorReply.Withdrawn.class,
			Withdrawn.class, OperatorService.withdrawKey_args.class, OperatorService.withdrawKey_result.class),

	/** Declares an entry host destroyed. */
	FORGET_HOLDER("forgetHolder", OperatorRequest.ForgetHolder.class, ForgetHolder.class, OperatorReply.Changed.class,
			Changed.class, OperatorService.forgetHolder_args.class, OperatorService.forgetHolder_result.class);

	private final String methodName;

	private final Class<? extends OperatorRequest> requestType;

	private final ValueMapping request;

	private final Class<? extends OperatorReply> replyType;

	private final ValueMapping reply;

	private final ThriftType<?> arguments;

	private final ThriftType<?> result;

	OperatorMethod(String methodName, Class<? extends OperatorRequest> requestType,
			Class<? extends TBase<?, ?>> requestStruct, Class<? extends OperatorReply> replyType,
			Class<? extends TBase<?, ?>> replyStruct, Class<? extends TBase<?, ?>> arguments,
			Class<? extends TBase<?, ?>> result) {
		this.methodName = methodName;
		this.requestType = requestType;
		this.request = new MappingFactory().struct(requestType, requestStruct);
		this.replyType = replyType;
		this.reply = new MappingFactory().struct(replyType, replyStruct);
		this.arguments = ThriftType.of(arguments);
		this.result = ThriftType.of(result);
	}

	static Optional<OperatorMethod> findByName(String methodName) {
		return Arrays.stream(values()).filter((method) -> method.methodName.equals(methodName)).findFirst();
	}

	static OperatorMethod of(OperatorRequest request) {
		return Arrays.stream(values())
			.filter((method) -> method.requestType.isInstance(request))
			.findFirst()
			.orElseThrow();
	}

	String methodName() {
		return this.methodName;
	}

	boolean repliesWith(OperatorReply reply) {
		return this.replyType.isInstance(reply);
	}

	ValueMapping request() {
		return this.request;
	}

	ValueMapping reply() {
		return this.reply;
	}

	ThriftType<?> arguments() {
		return this.arguments;
	}

	ThriftType<?> result() {
		return this.result;
	}

}
