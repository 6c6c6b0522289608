package io.burdockpin.codec.thrift.impl;

import java.lang.reflect.Constructor;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.codec.exc.CodecException;
import org.apache.thrift.TBase;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.meta_data.FieldMetaData;
import org.apache.thrift.meta_data.FieldValueMetaData;

/**
 * Metadata of a generated Thrift struct or union. Immutable.
 *
 * @param <T> the generated class
 */
final class ThriftType<T extends TBase<?, ?>> {

	private final Class<T> type;

	private final Constructor<T> constructor;

	private final Map<String, TFieldIdEnum> fields = new TreeMap<>();

	private final Map<String, FieldValueMetaData> valueMetaDataByName = new TreeMap<>();

	ThriftType(Class<T> type) {
		this.type = type;
		this.constructor = constructorOf(type);
		metaData(type).forEach((field, metaData) -> {
			this.fields.put(field.getFieldName(), field);
			this.valueMetaDataByName.put(field.getFieldName(), metaData.valueMetaData);
		});
	}

	static ThriftType<?> of(Class<? extends TBase<?, ?>> type) {
		return new ThriftType<>(type);
	}

	String name() {
		return this.type.getSimpleName();
	}

	int fieldCount() {
		return this.fields.size();
	}

	Optional<TFieldIdEnum> field(String name) {
		return Optional.ofNullable(this.fields.get(name));
	}

	FieldValueMetaData valueMetaData(String name) {
		return this.valueMetaDataByName.get(name);
	}

	@SuppressWarnings("unchecked")
	TBase<?, TFieldIdEnum> create() {
		try {
			return (TBase<?, TFieldIdEnum>) this.constructor.newInstance();
		}
		catch (ReflectiveOperationException ex) {
			throw CodecException.unsupported("%s cannot be created".formatted(name()), ex);
		}
	}

	private static <T> Constructor<T> constructorOf(Class<T> type) {
		try {
			return type.getConstructor();
		}
		catch (NoSuchMethodException ex) {
			throw CodecException.unsupported("%s has no constructor".formatted(type.getSimpleName()), ex);
		}
	}

	@SuppressWarnings({ "unchecked", "rawtypes" })
	private static Map<? extends TFieldIdEnum, FieldMetaData> metaData(Class<?> type) {
		return FieldMetaData.getStructMetaDataMap((Class) type);
	}

}
