package io.burdockpin.systemtest.batch;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;

/**
 * An interface that clients put under load. Its process has less heap than in a
 * deployment, so that a small client load shows a fault.
 */
enum LoadTarget {

	/** The callers' listener of an entry host. */
	CALLERS {

		@Override
		int bodyBytes() {
			return 262_144;
		}

		@Override
		int tinyChunks() {
			return 65_536;
		}

		@Override
		String requestLine() {
			return "POST " + JobCallers.PREFIX + "load HTTP/1.1\r\nHost: " + JobCallers.HOST + "\r\n";
		}

		@Override
		long maximumMemoryKilobytes() {
			return 160 * 1_024;
		}

		@Override
		BatchProcess process(BatchDeployment deployment) {
			return deployment.entryHosts().get(0);
		}

		@Override
		InetSocketAddress address(BatchDeployment deployment) {
			return new InetSocketAddress(deployment.entryAddresses().findFirst().orElseThrow(),
					BatchDeployment.CALLER_PORT);
		}

		@Override
		HttpRequest.Builder ordinaryRequest(BatchDeployment deployment, int number) {
			String body = "{\"specification\":\"1\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":100,\"estimatedMs\":1}]}";
			return HttpRequest.newBuilder(uri(deployment, JobCallers.PREFIX + "ordinary-" + number))
				.header("Host", JobCallers.HOST)
				.POST(HttpRequest.BodyPublishers.ofString(body));
		}

	},

	/** The control listener of a member, for runners and operators. */
	CONTROL {

		@Override
		int bodyBytes() {
			return 1_024 * 1_024;
		}

		@Override
		int tinyChunks() {
			return 131_072;
		}

		@Override
		String requestLine() {
			return "PUT /api/configuration HTTP/1.1\r\nHost: control\r\n";
		}

		@Override
		long maximumMemoryKilobytes() {
			return 224 * 1_024;
		}

		@Override
		BatchProcess process(BatchDeployment deployment) {
			return deployment.members().get(0);
		}

		@Override
		InetSocketAddress address(BatchDeployment deployment) {
			return new InetSocketAddress(deployment.memberAddress(0), BatchDeployment.CONTROL_PORT);
		}

		@Override
		HttpRequest.Builder ordinaryRequest(BatchDeployment deployment, int number) {
			return HttpRequest.newBuilder(uri(deployment, "/api/configuration"))
				.PUT(HttpRequest.BodyPublishers
					.ofString(JsonServer.JSON.valueToTree(JobCallers.configuration(1_000 + number)).toString()));
		}

	};

	/** Largest body that a client of the load announces or sends. */
	abstract int bodyBytes();

	/** Number of chunks of one byte in a body; each takes six on the connection. */
	abstract int tinyChunks();

	/** The start of a request with a body, up to the end of its {@code Host} header. */
	abstract String requestLine();

	/** At most the memory of the machine in small tests. */
	abstract long maximumMemoryKilobytes();

	abstract BatchProcess process(BatchDeployment deployment);

	abstract InetSocketAddress address(BatchDeployment deployment);

	/** A request that a legal client sends, which is to be acknowledged. */
	abstract HttpRequest.Builder ordinaryRequest(BatchDeployment deployment, int number);

	URI uri(BatchDeployment deployment, String path) {
		InetSocketAddress address = address(deployment);
		return URI.create("http://%s:%d%s".formatted(address.getHostString(), address.getPort(), path));
	}

}
