package io.burdockpin.codec.json;

import java.time.Instant;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;

/**
 * Encodes events as JSON objects, one per line of an event file. Immutable.
 */
public final class EventJsonCodec {

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Encodes an event.
	 * @param process the process that recorded the event
	 * @param event the event
	 * @return one line of JSON without a line terminator
	 */
	public String encode(ProcessDescription process, Event event) {
		ObjectNode object = this.mapper.createObjectNode();
		object.put("time", Instant.ofEpochMilli(event.timestamp().wallMillis()).toString());
		object.put("hlc", event.timestamp().packed());
		object.put("program", process.program());
		object.put("processHost", process.host());
		object.put("processDataCentre", process.dataCentre());
		object.put("incarnation", process.incarnation());
		object.put("kind", event.kind().name());
		for (Map.Entry<EventField, String> field : event.fields().entrySet()) {
			object.put(field.getKey().jsonName(), field.getValue());
		}
		return write(object);
	}

	private String write(ObjectNode object) {
		try {
			return this.mapper.writeValueAsString(object);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a JSON tree of strings and numbers could not be serialized", ex);
		}
	}

}
