package io.burdockpin.entry.router;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;

/**
 * Parses content types. Common values are looked up in a table, because parsing is
 * expensive.
 */
public final class ContentTypeParser {

	private static final Map<String, ContentType> COMMON = Stream
		.of(ContentTypes.APPLICATION_JSON, ContentTypes.APPLICATION_OCTET_STREAM, ContentTypes.TEXT_PLAIN_UTF8,
				ContentTypes.TEXT_HTML_UTF8, ContentTypes.TEXT_XML_UTF8)
		.collect(Collectors.toUnmodifiableMap(ContentType::toString, Function.identity()));

	private ContentTypeParser() {
	}

	/**
	 * Parses a content type.
	 * @param text the value of a {@code Content-Type} header
	 * @return the content type
	 * @throws IllegalArgumentException if the value is malformed
	 */
	public static ContentType parse(String text) {
		ContentType common = COMMON.get(text);
		return (common != null) ? common : ContentTypes.parse(text);
	}

}
