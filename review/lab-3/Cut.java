import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Forwards connections to a runner. While it is cut, no byte passes, on open connections and on new ones;
 * what was held up is lost.
 */
final class Cut implements AutoCloseable {

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final List<Socket> sockets = new ArrayList<>();

	private volatile boolean active;

	Cut(String ip, int port, InetSocketAddress target) throws IOException {
		this.listener = new ServerSocket(port, 50, InetAddress.getByName(ip));
		this.target = target;
		daemon(this::accept);
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	boolean isActive() {
		return this.active;
	}

	void begin() {
		this.active = true;
	}

	/** Ends the cut; the connections that it held up are reset. */
	synchronized void end() {
		this.active = false;
		this.sockets.forEach(Cut::reset);
		this.sockets.clear();
	}

	@Override
	public synchronized void close() throws IOException {
		this.listener.close();
		this.sockets.forEach(Cut::reset);
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// closed already
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket caller = this.listener.accept();
				caller.setTcpNoDelay(true);
				Socket runner = new Socket();
				runner.setTcpNoDelay(true);
				runner.connect(this.target, 1_000);
				synchronized (this) {
					this.sockets.add(caller);
					this.sockets.add(runner);
				}
				daemon(() -> forward(caller, runner));
				daemon(() -> forward(runner, caller));
			}
		}
		catch (IOException ex) {
			// closed
		}
	}

	private void forward(Socket from, Socket to) {
		byte[] buffer = new byte[16_384];
		try (from; to) {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
				if (this.active) {
					// Keeps the connection open until the cut ends.
					Thread.sleep(60_000);
				}
				output.write(buffer, 0, count);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The connection has ended.
		}
	}

}
