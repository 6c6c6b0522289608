package io.burdockpin.control.admin;

import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.burdockpin.control.replica.ControlStatus;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.ReplicaStatus;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/** The pages of {@link AdminHttp}. */
enum AdminPage {

	/** Where the member stands, as JSON. */
	HEALTH("/health") {
		@Override
		HttpResponse render(ControlStatus status, boolean stopping, ControlMetrics metrics) {
			ReplicaStatus replica = status.replica();
			ObjectNode json = JsonNodeFactory.instance.objectNode();
			json.put("host", replica.self().host().value());
			json.put("incarnation", replica.self().incarnation());
			json.put("role", replica.role().name());
			json.put("term", replica.term());
			json.put("leader", replica.leader().map(MemberId::host).map(Object::toString).orElse(""));
			json.put("majorityReachable", status.majorityReachable());
			json.put("commitIndex", replica.commitIndex());
			json.put("lastIndex", replica.lastIndex());
			json.put("configurationIndex", status.configurationIndex());
			json.put("admitted", replica.membership().find(replica.self()).isPresent());
			json.put("stopping", stopping);
			return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, json.toString());
		}
	},

	/** Whether the member can serve changes, by its status code. */
	READY("/ready") {
		@Override
		HttpResponse render(ControlStatus status, boolean stopping, ControlMetrics metrics) {
			boolean isReady = status.majorityReachable() && !stopping;
			return HttpResponse.create().withStatus(isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
		}
	},

	/** Metrics in the text format of Prometheus. */
	METRICS("/metrics") {
		@Override
		HttpResponse render(ControlStatus status, boolean stopping, ControlMetrics metrics) {
			return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, metrics.scrape(status));
		}
	};

	private final String path;

	AdminPage(String path) {
		this.path = path;
	}

	static Optional<AdminPage> ofPath(String path) {
		return Arrays.stream(values()).filter((page) -> page.path.equals(path)).findFirst();
	}

	abstract HttpResponse render(ControlStatus status, boolean stopping, ControlMetrics metrics);

}
