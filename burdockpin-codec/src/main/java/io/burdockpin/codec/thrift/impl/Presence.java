package io.burdockpin.codec.thrift.impl;

import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.codec.exc.CodecException;

/** How a record component says that it has no value. */
enum Presence {

	/** Always has a value. */
	REQUIRED {
		@Override
		Optional<Object> unwrap(Object value) {
			return Optional.of(value);
		}

		@Override
		Object wrap(Optional<Object> value, String name) {
			return value.orElseThrow(() -> CodecException.malformed("field %s is missing".formatted(name), null));
		}
	},

	/** An {@link Optional}. */
	OPTIONAL {
		@Override
		Optional<Object> unwrap(Object value) {
			return ((Optional<?>) value).map((present) -> present);
		}

		@Override
		Object wrap(Optional<Object> value, String name) {
			return value;
		}
	},

	/** An {@link OptionalLong}. */
	OPTIONAL_LONG {
		@Override
		Optional<Object> unwrap(Object value) {
			OptionalLong number = (OptionalLong) value;
			return number.isPresent() ? Optional.of(number.getAsLong()) : Optional.empty();
		}

		@Override
		Object wrap(Optional<Object> value, String name) {
			return value.map((number) -> OptionalLong.of((Long) number)).orElseGet(OptionalLong::empty);
		}
	};

	/**
	 * Finds out how a component of a type says that it has no value.
	 * @param type the declared type
	 * @return the constant
	 */
	static Presence of(Class<?> type) {
		if (type == Optional.class) {
			return OPTIONAL;
		}
		return (type == OptionalLong.class) ? OPTIONAL_LONG : REQUIRED;
	}

	/**
	 * Takes the value out of a component.
	 * @param value the component
	 * @return its value
	 */
	abstract Optional<Object> unwrap(Object value);

	/**
	 * Puts a decoded value into a component.
	 * @param value the value, if the field is set
	 * @param name the name of the field, for the error message
	 * @return the component
	 */
	abstract Object wrap(Optional<Object> value, String name);

}
