package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.typed.ActorSystem;

/** Program that sends one request and ends normally once its standard input ends. */
public final class RequestingProcess {

	private static final Duration TIMEOUT = Duration.ofSeconds(100);

	private RequestingProcess() {
	}

	/**
	 * Starts the program in a process of its own.
	 * @param port the port of the server on the loopback address
	 * @param bodyBytes the length of the body
	 * @return the process
	 * @throws IOException if the process cannot be started
	 */
	static Process start(int port, int bodyBytes) throws IOException {
		return new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m",
				"-cp", System.getProperty("java.class.path"), RequestingProcess.class.getName(), Integer.toString(port),
				Integer.toString(bodyBytes)))
			.redirectOutput(ProcessBuilder.Redirect.DISCARD)
			.redirectError(ProcessBuilder.Redirect.DISCARD)
			.start();
	}

	public static void main(String[] arguments) throws IOException {
		InetSocketAddress server = new InetSocketAddress("127.0.0.1", Integer.parseInt(arguments[0]));
		SocketTask sockets = new SocketTask();
		sockets.start();
		ActorSystem<ReconnectingHttpClient.Command> client = ActorSystem
			.create(ReconnectingHttpClient.create(sockets, server), "client");
		client.tell(new ReconnectingHttpClient.Request(request(Integer.parseInt(arguments[1])), TIMEOUT,
				ReconnectingHttpClient.ConnectionUse.ANY, Optional.empty(), client.ignoreRef()));
		System.in.readAllBytes();
		System.exit(0);
	}

	static HttpClientRequest request(int bodyBytes) {
		return HttpClientRequest.post("/path", new byte[bodyBytes]);
	}

}
