package io.burdockpin.timeline.output;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.timeline.check.BrokenPromise;
import io.burdockpin.timeline.model.EventRecord;
import io.burdockpin.timeline.model.ProcessName;
import io.burdockpin.timeline.model.Timeline;

/**
 * A page with one lane for each process. Events stand in causal order from left to right,
 * each in a column of its own, so that no event hides another. Immutable; written once.
 */
final class HtmlPage {

	private static final int LEFT = 260;

	private static final int COLUMN = 10;

	private static final int LANE = 34;

	private static final int TOP = 24;

	private static final int RADIUS = 4;

	private static final String STYLE = """
			body { font: 14px system-ui, sans-serif; margin: 1.5em; color: #222; }
			svg { background: #fafafa; border: 1px solid #ddd; }
			.lane { stroke: #ccc; } .event { fill: #36c; } .broken { fill: #c22; }
			.mark { stroke: #c22; stroke-dasharray: 3 3; }
			li.broken { color: #c22; } td { padding: 0 1em 0 0; font-family: monospace; }
			.scroll { overflow-x: auto; }
			""";

	private final Timeline timeline;

	private final List<BrokenPromise> broken;

	private final Set<EventRecord> marked = new HashSet<>();

	private final Map<ProcessName, Integer> lanes = new HashMap<>();

	HtmlPage(Timeline timeline, List<BrokenPromise> broken) {
		this.timeline = timeline;
		this.broken = List.copyOf(broken);
		broken.forEach((promise) -> this.marked.addAll(promise.events()));
		timeline.processes().forEach((process) -> this.lanes.put(process, this.lanes.size()));
	}

	String write() {
		StringBuilder page = new StringBuilder();
		page.append(
				"<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time line</title><style>\n")
			.append(STYLE)
			.append("</style></head><body>\n<h1>Time line</h1>\n");
		page.append("<p>%d events of %d processes, %d broken promises.</p>\n".formatted(this.timeline.events().size(),
				this.lanes.size(), this.broken.size()));
		writeBroken(page);
		writeLanes(page);
		writeTable(page);
		return page.append("</body></html>\n").toString();
	}

	private void writeBroken(StringBuilder page) {
		page.append("<ul>\n");
		this.broken.forEach((promise) -> page.append("<li class=\"broken\">%s (%s): %s</li>\n"
			.formatted(promise.check(), escape(promise.check().promise()), escape(promise.message()))));
		page.append("</ul>\n");
	}

	private void writeLanes(StringBuilder page) {
		int width = LEFT + (this.timeline.events().size() + 2) * COLUMN;
		int height = TOP + this.lanes.size() * LANE;
		page.append("<div class=\"scroll\"><svg width=\"%d\" height=\"%d\">\n".formatted(width, height));
		this.lanes.forEach((process, lane) -> page
			.append("<text x=\"8\" y=\"%d\">%s</text><line class=\"lane\" x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\"/>\n"
				.formatted(y(lane) + RADIUS, escape(process.toString()), LEFT, y(lane), width, y(lane))));
		int column = 0;
		for (EventRecord event : this.timeline.events()) {
			column++;
			writeEvent(page, event, LEFT + column * COLUMN, height);
		}
		page.append("</svg></div>\n");
	}

	private void writeEvent(StringBuilder page, EventRecord event, int x, int height) {
		boolean isMarked = this.marked.contains(event);
		if (isMarked) {
			page.append("<line class=\"mark\" x1=\"%d\" y1=\"0\" x2=\"%d\" y2=\"%d\"/>\n".formatted(x, x, height));
		}
		page.append("<circle class=\"%s\" cx=\"%d\" cy=\"%d\" r=\"%d\"><title>%s</title></circle>\n".formatted(
				isMarked ? "broken" : "event", x, y(this.lanes.get(event.process())), RADIUS, escape(event.text())));
	}

	private void writeTable(StringBuilder page) {
		page.append("<table>\n");
		this.timeline.events()
			.forEach((event) -> page.append("<tr><td>%s</td></tr>\n".formatted(escape(event.text()))));
		page.append("</table>\n");
	}

	private static int y(int lane) {
		return TOP + lane * LANE;
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
