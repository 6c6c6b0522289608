package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.exc.CodecException;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Opens untrusted bytes for reading, with limits on their nesting and size.
 */
final class ThriftInput {

	/**
	 * Maximum nesting depth of skipped unknown fields. By default it is unlimited, so
	 * crafted input can overflow the stack.
	 */
	private static final int MAX_SKIP_DEPTH = 32;

	static {
		TProtocolUtil.setMaxSkipDepth(MAX_SKIP_DEPTH);
	}

	private ThriftInput() {
	}

	static TMemoryInputTransport open(byte[] bytes) throws TTransportException {
		// No collection can have more elements than the input has bytes.
		int boundBytes = Math.max(1, bytes.length);
		return new TMemoryInputTransport(new TConfiguration(boundBytes, boundBytes, MAX_SKIP_DEPTH), bytes);
	}

	static void checkEnd(TMemoryInputTransport transport, String what) {
		if (transport.getBytesRemainingInBuffer() != 0) {
			throw CodecException.malformed(
					"%d bytes follow the end of %s".formatted(transport.getBytesRemainingInBuffer(), what), null);
		}
	}

}
