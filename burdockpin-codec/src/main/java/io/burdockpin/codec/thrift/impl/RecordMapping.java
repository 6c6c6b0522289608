package io.burdockpin.codec.thrift.impl;

import java.util.List;

import org.apache.thrift.TBase;
import org.apache.thrift.TFieldIdEnum;

/** Converts a record to a Thrift struct whose fields have the names of its components. */
final class RecordMapping implements ValueMapping {

	private final RecordAccess access;

	private final ThriftType<?> struct;

	private final List<ComponentMapping> components;

	RecordMapping(RecordAccess access, ThriftType<?> struct, List<ComponentMapping> components) {
		this.access = access;
		this.struct = struct;
		this.components = List.copyOf(components);
	}

	@Override
	public Object toThrift(Object value) {
		TBase<?, TFieldIdEnum> target = this.struct.create();
		this.components.forEach((component) -> component.copyToThrift(value, target));
		return target;
	}

	@Override
	@SuppressWarnings("unchecked")
	public Object toCore(Object value) {
		TBase<?, TFieldIdEnum> source = (TBase<?, TFieldIdEnum>) value;
		Object[] arguments = this.components.stream().map((component) -> component.toCore(source)).toArray();
		return this.access.create(arguments);
	}

}
