package io.burdockpin.entry.http;

import java.util.ArrayList;
import java.util.List;

import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Splits the path of a request into its segments. */
final class PathSegments {

	private PathSegments() {
	}

	static List<String> of(HttpRequest request) {
		List<String> segments = new ArrayList<>();
		for (String segment : request.getUri().pathSegments()) {
			segments.add(segment);
		}
		return segments;
	}

}
