package io.burdockpin.codec.thrift.impl;

import java.util.Map;

import io.burdockpin.codec.exc.CodecException;
import org.apache.thrift.TBase;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.TUnion;

/**
 * Converts values of a sealed interface to a Thrift union whose fields have the names of
 * the permitted types.
 */
final class UnionMapping implements ValueMapping {

	private final ThriftType<?> union;

	private final Map<Class<?>, ValueMapping> mappings;

	private final Map<Class<?>, TFieldIdEnum> fields;

	private final Map<TFieldIdEnum, ValueMapping> fieldMappings;

	UnionMapping(ThriftType<?> union, Map<Class<?>, ValueMapping> mappings, Map<Class<?>, TFieldIdEnum> fields,
			Map<TFieldIdEnum, ValueMapping> fieldMappings) {
		this.union = union;
		this.mappings = Map.copyOf(mappings);
		this.fields = Map.copyOf(fields);
		this.fieldMappings = Map.copyOf(fieldMappings);
	}

	@Override
	public Object toThrift(Object value) {
		Class<?> alternative = alternativeOf(value);
		TBase<?, TFieldIdEnum> target = this.union.create();
		target.setFieldValue(this.fields.get(alternative), this.mappings.get(alternative).toThrift(value));
		return target;
	}

	@Override
	public Object toCore(Object value) {
		TUnion<?, ?> source = (TUnion<?, ?>) value;
		if (!source.isSet()) {
			throw CodecException.malformed("union %s has no known field set".formatted(this.union.name()), null);
		}
		return this.fieldMappings.get(source.getSetField()).toCore(source.getFieldValue());
	}

	private Class<?> alternativeOf(Object value) {
		Class<?> type = value.getClass();
		if (this.mappings.containsKey(type)) {
			return type;
		}
		return this.mappings.keySet()
			.stream()
			.filter((alternative) -> alternative.isInstance(value))
			.findFirst()
			.orElseThrow(() -> CodecException.unsupported("%s has no encoding".formatted(type.getSimpleName()), null));
	}

}
