package io.burdockpin.timeline.output;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.timeline.check.BrokenPromise;
import io.burdockpin.timeline.model.EventRecord;
import io.burdockpin.timeline.model.Timeline;

/** How the time line is written. */
public enum OutputFormat {

	/** One line for each event and each broken promise. */
	TEXT {
		@Override
		public String write(Timeline timeline, List<BrokenPromise> broken) {
			StringBuilder text = new StringBuilder();
			timeline.events().forEach((event) -> text.append(event.text()).append('\n'));
			broken.forEach((promise) -> text.append(
					"BROKEN %s (%s): %s\n".formatted(promise.check(), promise.check().promise(), promise.message())));
			return text.toString();
		}
	},

	/** One document with the events and the broken promises. */
	JSON {
		@Override
		public String write(Timeline timeline, List<BrokenPromise> broken) {
			Map<String, Object> document = new LinkedHashMap<>();
			document.put("events", timeline.events().stream().map(OutputFormat::object).toList());
			document.put("broken", broken.stream().map(OutputFormat::object).toList());
			try {
				return new ObjectMapper().writeValueAsString(document) + "\n";
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("maps, lists, strings and numbers can always be printed", ex);
			}
		}
	},

	/** A page that needs no other files. */
	HTML {
		@Override
		public String write(Timeline timeline, List<BrokenPromise> broken) {
			return new HtmlPage(timeline, broken).write();
		}
	};

	/**
	 * Writes a time line.
	 * @param timeline the events to show
	 * @param broken the broken promises to show
	 * @return the document
	 */
	public abstract String write(Timeline timeline, List<BrokenPromise> broken);

	private static Map<String, Object> object(EventRecord event) {
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("hlc", event.hlc());
		object.put("program", event.process().program());
		object.put("processHost", event.process().host());
		object.put("processDataCentre", event.process().dataCentre());
		object.put("kind", event.kind());
		object.putAll(event.fields());
		return object;
	}

	private static Map<String, Object> object(BrokenPromise promise) {
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("check", promise.check().name());
		object.put("promise", promise.check().promise());
		object.put("message", promise.message());
		object.put("events", promise.events().stream().map(OutputFormat::object).toList());
		return object;
	}

}
