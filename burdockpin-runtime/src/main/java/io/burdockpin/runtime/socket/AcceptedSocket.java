package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** Connection accepted by a {@link SocketTask}. */
public final class AcceptedSocket extends ConnectionSocketBase {

	AcceptedSocket(SocketTask task, SocketChannel channel) {
		super(task, channel);
	}

	@Override
	void begin() throws IOException {
		channel().setOption(StandardSocketOptions.TCP_NODELAY, true);
		register(SelectionKey.OP_READ);
	}

	@Override
	void onConnectable() {
		throw new IllegalStateException("an accepted connection is connected already");
	}

}
