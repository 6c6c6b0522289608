package io.burdockpin.codec.thrift.impl;

import java.lang.reflect.Method;
import java.util.Optional;

import org.apache.thrift.TBase;
import org.apache.thrift.TFieldIdEnum;

/** Copies one record component to and from its Thrift field. Immutable. */
final class ComponentMapping {

	private final Method accessor;

	private final Presence presence;

	private final ValueMapping value;

	private final TFieldIdEnum field;

	ComponentMapping(Method accessor, Presence presence, ValueMapping value, TFieldIdEnum field) {
		this.accessor = accessor;
		this.presence = presence;
		this.value = value;
		this.field = field;
	}

	void copyToThrift(Object source, TBase<?, TFieldIdEnum> target) {
		Object component = RecordAccess.read(this.accessor, source);
		this.presence.unwrap(component)
			.map(this.value::toThrift)
			.ifPresent((mapped) -> target.setFieldValue(this.field, mapped));
	}

	Object toCore(TBase<?, TFieldIdEnum> source) {
		Optional<Object> set = source.isSet(this.field) ? Optional.of(source.getFieldValue(this.field))
				: Optional.empty();
		return this.presence.wrap(set.map(this.value::toCore), this.field.getFieldName());
	}

}
