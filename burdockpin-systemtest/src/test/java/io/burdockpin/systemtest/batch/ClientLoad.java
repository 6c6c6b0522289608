package io.burdockpin.systemtest.batch;

/**
 * A kind of load by clients outside the limits. Most clients stop just short of the end
 * of their request and keep the connection open; every eighth one completes it.
 */
enum ClientLoad {

	/** Header sections above the limit, and header sections without end. */
	HEADER_SECTIONS {

		@Override
		RequestScript script(int client, LoadTarget target) {
			long fieldBytes = (client % 2 == 0) ? OVERLONG_HEAD_BYTES : ENDLESS_BYTES;
			return RequestScript.of(target.requestLine(), "X-Field: 0123456789abcdef\r\n", fieldBytes,
					(client % COMPLETING == 0) ? "\r\n\r\n" : "", LARGE_PIECE_BYTES);
		}

	},

	/** Empty lines without end where a request should begin. */
	EMPTY_LINES {

		@Override
		RequestScript script(int client, LoadTarget target) {
			return RequestScript.of("", "\r\n", ENDLESS_BYTES, "", LARGE_PIECE_BYTES);
		}

	},

	/** Bodies that are sent at once. */
	WHOLE_BODIES {

		@Override
		RequestScript script(int client, LoadTarget target) {
			return body(client, target, Integer.MAX_VALUE);
		}

	},

	/** Bodies that are sent piece by piece, in turn with all other clients. */
	BODIES_IN_PIECES {

		@Override
		RequestScript script(int client, LoadTarget target) {
			return body(client, target, SMALL_PIECE_BYTES);
		}

	},

	/** Chunked bodies in large chunks. */
	LARGE_CHUNKS {

		@Override
		RequestScript script(int client, LoadTarget target) {
			String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
			return chunks(client, target, chunk, target.bodyBytes() / 0x4000, LARGE_PIECE_BYTES);
		}

	},

	/** Chunked bodies in chunks of one byte. */
	TINY_CHUNKS {

		@Override
		RequestScript script(int client, LoadTarget target) {
			return chunks(client, target, "1\r\nx\r\n", target.tinyChunks(), SMALL_PIECE_BYTES);
		}

	};

	private static final int COMPLETING = 8;

	private static final int OVERLONG_HEAD_BYTES = 20 * 1_024;

	/** Stands for an endless stream: several times the largest body of a caller. */
	private static final int ENDLESS_BYTES = 4 * 1_024 * 1_024;

	private static final int LARGE_PIECE_BYTES = 64 * 1_024;

	private static final int SMALL_PIECE_BYTES = 1_000;

	/**
	 * Returns what a client sends.
	 * @param client the number of the client, from 0
	 * @param target the interface that it sends to
	 * @return the script
	 */
	abstract RequestScript script(int client, LoadTarget target);

	private static RequestScript body(int client, LoadTarget target, int pieceBytes) {
		String head = target.requestLine() + "Content-Length: " + target.bodyBytes() + "\r\n\r\n";
		return (client % COMPLETING == 0) ? RequestScript.of(head, "x", target.bodyBytes(), "", pieceBytes)
				: RequestScript.of(head, "x", target.bodyBytes() - 1, "", pieceBytes);
	}

	private static RequestScript chunks(int client, LoadTarget target, String chunk, long chunks, int pieceBytes) {
		return RequestScript.of(target.requestLine() + "Transfer-Encoding: chunked\r\n\r\n", chunk,
				chunks * chunk.length(), (client % COMPLETING == 0) ? "0\r\n\r\n" : "0\r\n", pieceBytes);
	}

}
