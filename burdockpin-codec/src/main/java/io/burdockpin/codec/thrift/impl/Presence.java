package io.burdockpin.codec.thrift.impl;

import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.codec.exc.CodecException;

/** How a record component represents the absence of a value. */
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
	 * Determines how a component of a type represents the absence of a value.
	 * @param type the declared type of the component
	 * @return the matching constant
	 */
	static Presence of(Class<?> type) {
		if (type == Optional.class) {
			return OPTIONAL;
		}
		return (type == OptionalLong.class) ? OPTIONAL_LONG : REQUIRED;
	}

	/**
	 * Returns the value of a component.
	 * @param value the component as declared, possibly an optional
	 * @return the contained value, or empty if there is none
	 */
	abstract Optional<Object> unwrap(Object value);

	/**
	 * Creates a component from a decoded value.
	 * @param value the decoded value, or empty if the field is not set
	 * @param name the name of the field, for error messages
	 * @return the component as declared
	 */
	abstract Object wrap(Optional<Object> value, String name);

}
