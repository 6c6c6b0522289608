package io.burdockpin.codec.thrift.impl;

import java.util.ArrayList;
import java.util.List;

/** Converts lists element by element. */
final class ListMapping implements ValueMapping {

	private final ValueMapping element;

	ListMapping(ValueMapping element) {
		this.element = element;
	}

	@Override
	public Object toThrift(Object value) {
		List<Object> mapped = new ArrayList<>();
		((List<?>) value).forEach((item) -> mapped.add(this.element.toThrift(item)));
		return mapped;
	}

	@Override
	public Object toCore(Object value) {
		List<Object> mapped = new ArrayList<>();
		((List<?>) value).forEach((item) -> mapped.add(this.element.toCore(item)));
		return mapped;
	}

}
