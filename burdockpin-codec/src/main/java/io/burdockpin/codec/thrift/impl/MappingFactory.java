package io.burdockpin.codec.thrift.impl;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.core.model.Payload;
import org.apache.thrift.TBase;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.meta_data.EnumMetaData;
import org.apache.thrift.meta_data.FieldValueMetaData;
import org.apache.thrift.meta_data.ListMetaData;
import org.apache.thrift.meta_data.StructMetaData;

/**
 * Creates the mappings between core types and generated Thrift types, matched by name.
 * The construction of a codec fails if a component, constant or permitted type has no
 * counterpart, so no new type can be forgotten. Mutable; discarded once the mappings are
 * built.
 */
final class MappingFactory {

	private final Map<Class<?>, ValueMapping> known = new HashMap<>();

	ValueMapping struct(Class<?> coreType, Class<? extends TBase<?, ?>> thriftType) {
		ValueMapping mapping = this.known.get(coreType);
		if (mapping == null) {
			ThriftType<?> thrift = ThriftType.of(thriftType);
			mapping = coreType.isSealed() ? union(coreType, thrift) : record(coreType, thrift);
			this.known.put(coreType, mapping);
		}
		return mapping;
	}

	private ValueMapping record(Class<?> coreType, ThriftType<?> thrift) {
		RecordAccess access = new RecordAccess(coreType);
		List<ComponentMapping> components = new ArrayList<>();
		for (RecordComponent component : access.components()) {
			components.add(component(component, thrift));
		}
		checkFieldCount(coreType, thrift, components.size());
		return new RecordMapping(access, thrift, components);
	}

	private ComponentMapping component(RecordComponent component, ThriftType<?> thrift) {
		String name = component.getName();
		TFieldIdEnum field = field(thrift, name);
		Presence presence = Presence.of(component.getType());
		Type valueType = (presence != Presence.OPTIONAL) ? component.getGenericType()
				: argument(component.getGenericType());
		return new ComponentMapping(component.getAccessor(), presence, value(valueType, thrift.valueMetaData(name)),
				field);
	}

	private ValueMapping union(Class<?> coreType, ThriftType<?> thrift) {
		Map<Class<?>, ValueMapping> mappings = new HashMap<>();
		Map<Class<?>, TFieldIdEnum> fields = new HashMap<>();
		Map<TFieldIdEnum, ValueMapping> fieldMappings = new HashMap<>();
		for (Class<?> alternative : coreType.getPermittedSubclasses()) {
			String name = fieldName(alternative);
			ValueMapping mapping = value(alternative, thrift.valueMetaData(name));
			mappings.put(alternative, mapping);
			fields.put(alternative, field(thrift, name));
			fieldMappings.put(field(thrift, name), mapping);
		}
		checkFieldCount(coreType, thrift, fields.size());
		return new UnionMapping(thrift, mappings, fields, fieldMappings);
	}

	private ValueMapping value(Type coreType, FieldValueMetaData thrift) {
		if (coreType instanceof ParameterizedType list) {
			return new ListMapping(value(argument(list), ((ListMetaData) thrift).elemMetaData));
		}
		Class<?> type = (Class<?>) coreType;
		if (thrift instanceof EnumMetaData metaData) {
			return new EnumMapping(type, metaData.enumClass);
		}
		if (thrift instanceof StructMetaData metaData) {
			return struct(type, structClass(metaData));
		}
		return scalar(type);
	}

	private ValueMapping scalar(Class<?> type) {
		if (type == Payload.class) {
			return new PayloadMapping();
		}
		if (NameMapping.supports(type)) {
			return new NameMapping(type);
		}
		if (type.isPrimitive() || type == String.class || type == OptionalLong.class) {
			return new IdentityMapping();
		}
		throw CodecException.unsupported("type %s has no Thrift counterpart".formatted(type.getSimpleName()), null);
	}

	private static TFieldIdEnum field(ThriftType<?> thrift, String name) {
		return thrift.field(name)
			.orElseThrow(() -> CodecException
				.unsupported("Thrift type %s has no field %s".formatted(thrift.name(), name), null));
	}

	private static void checkFieldCount(Class<?> coreType, ThriftType<?> thrift, int count) {
		if (thrift.fieldCount() != count) {
			throw CodecException.unsupported("Thrift type %s has %d fields, type %s has %d".formatted(thrift.name(),
					thrift.fieldCount(), coreType.getSimpleName(), count), null);
		}
	}

	private static Type argument(Type type) {
		return ((ParameterizedType) type).getActualTypeArguments()[0];
	}

	private static String fieldName(Class<?> alternative) {
		String name = alternative.getSimpleName();
		return Character.toLowerCase(name.charAt(0)) + name.substring(1);
	}

	@SuppressWarnings("unchecked")
	private static Class<? extends TBase<?, ?>> structClass(StructMetaData metaData) {
		return (Class<? extends TBase<?, ?>>) (Class<?>) metaData.structClass;
	}

}
