package io.burdockpin.codec.sample;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;

/** Creates valid sample values of core types by reflection. Owned by one test. */
public final class SampleValues {

	private final RandomGenerator random;

	public SampleValues(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns all records that implement a sealed interface, directly or through nested
	 * sealed interfaces.
	 */
	public static List<Class<?>> recordsOf(Class<?> sealed) {
		List<Class<?>> records = new ArrayList<>();
		for (Class<?> type : sealed.getPermittedSubclasses()) {
			records.addAll(type.isSealed() ? recordsOf(type) : List.of(type));
		}
		return records;
	}

	public <T> T draw(Class<T> type) {
		return type.cast(value(type));
	}

	private Object value(Type type) {
		if (type instanceof ParameterizedType parameterized) {
			return generic(parameterized);
		}
		Class<?> plain = (Class<?>) type;
		if (plain.isEnum()) {
			return pick(Arrays.asList(plain.getEnumConstants()));
		}
		if (plain.isSealed()) {
			return value(pick(recordsOf(plain)));
		}
		return plain.isRecord() ? record(plain) : scalar(plain);
	}

	private Object generic(ParameterizedType type) {
		Type argument = type.getActualTypeArguments()[0];
		if (type.getRawType() == Optional.class) {
			return this.random.nextBoolean() ? Optional.of(value(argument)) : Optional.empty();
		}
		return Stream.generate(() -> value(argument)).limit(this.random.nextInt(4)).toList();
	}

	private Object record(Class<?> type) {
		if (type == KeyHash.class) {
			return KeyHash.of(text());
		}
		RecordComponent[] components = type.getRecordComponents();
		Object[] arguments = Arrays.stream(components).map((component) -> argument(type, component)).toArray();
		Class<?>[] parameters = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		try {
			Constructor<?> constructor = type.getConstructor(parameters);
			return constructor.newInstance(arguments);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("no sample of " + type, ex);
		}
	}

	private Object argument(Class<?> type, RecordComponent component) {
		if (component.getName().equals("pools") && type.getSimpleName().equals("CampaignSpec")) {
			return List.of(value(((ParameterizedType) component.getGenericType()).getActualTypeArguments()[0]));
		}
		return value(component.getGenericType());
	}

	private Object scalar(Class<?> type) {
		if (type == Payload.class) {
			byte[] bytes = new byte[this.random.nextInt(20)];
			this.random.nextBytes(bytes);
			return Payload.of(bytes);
		}
		if (type == OptionalLong.class) {
			return this.random.nextBoolean() ? OptionalLong.of(number()) : OptionalLong.empty();
		}
		if (type == int.class) {
			return 1 + this.random.nextInt(100);
		}
		if (type == long.class) {
			return (long) number();
		}
		if (type == boolean.class) {
			return this.random.nextBoolean();
		}
		if (type == String.class) {
			return text();
		}
		throw new IllegalStateException("no sample of " + type);
	}

	private int number() {
		return 1 + this.random.nextInt(1_000_000);
	}

	private String text() {
		return IntStream.range(0, 1 + this.random.nextInt(8))
			.mapToObj((position) -> String.valueOf((char) ('a' + this.random.nextInt(26))))
			.reduce("", String::concat);
	}

	private <T> T pick(List<T> choices) {
		return choices.get(this.random.nextInt(choices.size()));
	}

}
