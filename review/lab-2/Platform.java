import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpServer;

/** The platform's interface for machines, with no machine to move or to maintain. */
final class Platform {

	private final Lab lab;

	private final HttpServer server;

	private final String address;

	Platform(Lab lab, String ip, int port) throws IOException {
		this.lab = lab;
		this.address = ip + ":" + port;
		this.server = HttpServer.create(new InetSocketAddress(ip, port), 0);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "platform");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/api/machines", (exchange) -> {
			Http.reply(exchange, 200, Http.object().set("machines", Http.JSON.createArrayNode()));
		});
		this.server.createContext("/", (exchange) -> {
			this.lab.log("platform is asked for %s", exchange.getRequestURI());
			Http.reply(exchange, 400, Http.object());
		});
	}

	String address() {
		return this.address;
	}

	void start() {
		this.server.start();
	}

	void stop() {
		this.server.stop(0);
	}

}
