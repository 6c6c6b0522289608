package io.burdockpin.timeline.model;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.timeline.TimelineException;

/**
 * Reads event files. A line that is not an event, for example the last one of a killed
 * process, is skipped and reported. A line that stands for several events of a request
 * yields each of them. Immutable but for the list of skipped lines; used by one thread.
 */
public final class EventFileReader {

	private static final List<String> HEADER_FIELDS = List.of("time", "hlc", "program", "processHost",
			"processDataCentre", "kind");

	private final ObjectMapper mapper = new ObjectMapper();

	private final List<String> skippedLines = new ArrayList<>();

	/**
	 * Reads files.
	 * @param files the files
	 * @return their events in the order of the hybrid logical clock
	 */
	public Timeline read(List<Path> files) {
		List<EventRecord> events = new ArrayList<>();
		files.forEach((file) -> events.addAll(read(file)));
		return new Timeline(events);
	}

	/**
	 * Returns which lines were skipped.
	 * @return file and line number of each
	 */
	public List<String> skippedLines() {
		return List.copyOf(this.skippedLines);
	}

	// helpers

	private List<EventRecord> read(Path file) {
		List<EventRecord> events = new ArrayList<>();
		int lineNumber = 0;
		for (String line : lines(file)) {
			lineNumber++;
			Optional<EventRecord> event = parse(line);
			if (event.isEmpty()) {
				this.skippedLines.add(file + ":" + lineNumber);
			}
			event.ifPresent((found) -> events.addAll(RequestStep.stepsOf(found)));
		}
		return events;
	}

	private static List<String> lines(Path file) {
		try {
			return new String(Files.readAllBytes(file), StandardCharsets.UTF_8).lines().toList();
		}
		catch (IOException ex) {
			throw new TimelineException(ErrorCode.STORAGE_FAILED, "%s cannot be read: %s".formatted(file, ex), ex);
		}
	}

	private Optional<EventRecord> parse(String line) {
		try {
			JsonNode node = this.mapper.readTree(line);
			boolean isEvent = node.path("hlc").isIntegralNumber() && node.path("kind").isTextual();
			return isEvent ? Optional.of(event(node)) : Optional.empty();
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private static EventRecord event(JsonNode node) {
		Map<String, String> fields = new TreeMap<>();
		Iterator<Map.Entry<String, JsonNode>> entries = node.fields();
		while (entries.hasNext()) {
			Map.Entry<String, JsonNode> entry = entries.next();
			if (!HEADER_FIELDS.contains(entry.getKey())) {
				fields.put(entry.getKey(), entry.getValue().asText());
			}
		}
		ProcessName process = new ProcessName(node.path("program").asText(), node.path("processHost").asText(),
				node.path("processDataCentre").asText());
		return new EventRecord(node.path("hlc").asLong(), process, node.path("kind").asText(), fields);
	}

}
