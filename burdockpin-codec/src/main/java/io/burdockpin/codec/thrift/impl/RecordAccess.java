package io.burdockpin.codec.thrift.impl;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;

import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.core.exc.BurdockException;

/** Reads the components of records and creates records by reflection. Immutable. */
final class RecordAccess {

	private final Class<?> type;

	private final Constructor<?> constructor;

	RecordAccess(Class<?> type) {
		this.type = type;
		this.constructor = canonicalConstructor(type);
	}

	RecordComponent[] components() {
		return this.type.getRecordComponents();
	}

	Object create(Object[] arguments) {
		try {
			return this.constructor.newInstance(arguments);
		}
		catch (InvocationTargetException ex) {
			throw translate(ex.getCause());
		}
		catch (ReflectiveOperationException ex) {
			throw CodecException.unsupported("%s cannot be created".formatted(this.type.getSimpleName()), ex);
		}
	}

	static Object read(Method accessor, Object target) {
		try {
			return accessor.invoke(target);
		}
		catch (ReflectiveOperationException ex) {
			throw CodecException.unsupported("%s cannot be read".formatted(accessor.getName()), ex);
		}
	}

	private static Constructor<?> canonicalConstructor(Class<?> type) {
		Class<?>[] parameters = Arrays.stream(type.getRecordComponents())
			.map(RecordComponent::getType)
			.toArray(Class<?>[]::new);
		try {
			return type.getConstructor(parameters);
		}
		catch (NoSuchMethodException ex) {
			throw CodecException.unsupported("record %s is not public".formatted(type.getSimpleName()), ex);
		}
	}

	private CodecException translate(Throwable cause) {
		String reason = (cause instanceof BurdockException) ? cause.getMessage() : cause.toString();
		return CodecException.malformed("%s is not valid: %s".formatted(this.type.getSimpleName(), reason), cause);
	}

}
