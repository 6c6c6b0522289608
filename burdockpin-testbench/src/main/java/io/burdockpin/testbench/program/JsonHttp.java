package io.burdockpin.testbench.program;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.burdockpin.runtime.tls.TlsIdentity;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ConnectionContext;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.HttpsConnectionContext;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Sends and answers JSON documents over HTTP. Immutable; shared by the actors of one
 * system.
 */
public final class JsonHttp {

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

	private final ObjectMapper mapper = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final ActorSystem<?> system;

	private final String scheme;

	private final Optional<HttpsConnectionContext> https;

	/**
	 * Creates an instance that uses plain HTTP.
	 * @param system the actor system whose connection pools are used
	 */
	public JsonHttp(ActorSystem<?> system) {
		this(system, Optional.empty());
	}

	/**
	 * Creates an instance.
	 * @param system the actor system whose connection pools are used
	 * @param trustFile the PEM file with the authorities of the servers; plain HTTP
	 * without it
	 */
	public JsonHttp(ActorSystem<?> system, Optional<Path> trustFile) {
		this.system = system;
		this.scheme = trustFile.isPresent() ? "https://" : "http://";
		this.https = trustFile
			.map((file) -> ConnectionContext.httpsClient(TlsIdentity.trustOnlyContext(file.toString())));
	}

	/**
	 * Posts a document and reads the answer.
	 * @param <T> type of the answer
	 * @param target the address
	 * @param path the path
	 * @param document the document
	 * @param type type of the answer
	 * @return the answer, or nothing if the status was not 200
	 */
	public <T> CompletionStage<Optional<T>> post(EndPoint target, String path, Object document, Class<T> type) {
		HttpRequest request = HttpRequest.POST(this.scheme + target + path)
			.withEntity(ContentTypes.APPLICATION_JSON, print(document));
		Http http = Http.get(this.system);
		return this.https.map((context) -> http.singleRequest(request, context))
			.orElseGet(() -> http.singleRequest(request))
			.thenCompose((response) -> response.entity()
				.toStrict(ANSWER_TIMEOUT.toMillis(), this.system)
				.thenApply((entity) -> read(response, entity, type)))
			.toCompletableFuture()
			.orTimeout(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Creates an answer with a document.
	 * @param status the HTTP status
	 * @param document the document
	 * @return the answer
	 */
	public HttpResponse answer(int status, Object document) {
		return HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, print(document));
	}

	// helpers

	private <T> Optional<T> read(HttpResponse response, HttpEntity.Strict entity, Class<T> type) {
		if (response.status().intValue() != 200) {
			return Optional.empty();
		}
		try {
			return Optional.of(this.mapper.readValue(entity.getData().toArray(), type));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private byte[] print(Object document) {
		try {
			return this.mapper.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("the document cannot be written as JSON", ex);
		}
	}

}
