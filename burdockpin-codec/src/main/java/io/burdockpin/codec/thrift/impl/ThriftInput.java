package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.exc.CodecException;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Opens bytes of unknown origin for reading, with bounds that hostile bytes cannot pass.
 */
final class ThriftInput {

	/**
	 * Deepest nesting of unknown fields. The default is unbounded and overflows the stack
	 * on hostile bytes.
	 */
	private static final int MAX_SKIP_DEPTH = 32;

	static {
		TProtocolUtil.setMaxSkipDepth(MAX_SKIP_DEPTH);
	}

	private ThriftInput() {
	}

	static TMemoryInputTransport open(byte[] bytes) throws TTransportException {
		// Collection sizes are bounded by the number of bytes that are there.
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
