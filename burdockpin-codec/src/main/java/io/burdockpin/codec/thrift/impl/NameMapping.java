package io.burdockpin.codec.thrift.impl;

import java.lang.reflect.Method;

/** Converts records with a single string component, such as names, to strings. */
final class NameMapping implements ValueMapping {

	private final RecordAccess access;

	private final Method accessor;

	NameMapping(Class<?> type) {
		this.access = new RecordAccess(type);
		this.accessor = this.access.components()[0].getAccessor();
	}

	static boolean supports(Class<?> type) {
		return type.isRecord() && type.getRecordComponents().length == 1
				&& type.getRecordComponents()[0].getType() == String.class;
	}

	@Override
	public Object toThrift(Object value) {
		return RecordAccess.read(this.accessor, value);
	}

	@Override
	public Object toCore(Object value) {
		return this.access.create(new Object[] { value });
	}

}
