package io.burdockpin.codec.thrift.impl;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.burdockpin.codec.exc.CodecException;

/** Converts between two enums whose constants have the same names. */
final class EnumMapping implements ValueMapping {

	private final Map<String, Object> coreConstants;

	private final Map<String, Object> thriftConstants;

	EnumMapping(Class<?> coreType, Class<?> thriftType) {
		this.coreConstants = constants(coreType);
		this.thriftConstants = constants(thriftType);
		if (!this.coreConstants.keySet().equals(this.thriftConstants.keySet())) {
			throw CodecException
				.unsupported("the constants of enum %s differ in Thrift".formatted(coreType.getSimpleName()), null);
		}
	}

	@Override
	public Object toThrift(Object value) {
		return this.thriftConstants.get(((Enum<?>) value).name());
	}

	@Override
	public Object toCore(Object value) {
		return this.coreConstants.get(((Enum<?>) value).name());
	}

	private static Map<String, Object> constants(Class<?> type) {
		return Arrays.stream(type.getEnumConstants())
			.collect(Collectors.toMap((constant) -> ((Enum<?>) constant).name(), (constant) -> constant,
					(first, second) -> first, TreeMap::new));
	}

}
