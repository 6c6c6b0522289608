package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;

/** Guards against responses that are truncated or merged with the next one. */
class HttpResponseReaderTests {

	private final HttpResponseReader reader = new HttpResponseReader();

	@Test
	void aResponseThatArrivesByteByByteIsCompleteWithItsLastByte() throws IOException {
		assertCompleteWithLastByte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
	}

	@Test
	void chunksThatArriveByteByByteAreCompleteWithTheLastOne() throws IOException {
		assertCompleteWithLastByte(
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
	}

	@Test
	void aResponseWithoutLengthEndsWithTheConnection() throws IOException {
		Truth.assertThat(read("HTTP/1.1 200 OK\r\n\r\nhello").isPresent()).isFalse();
		HttpClientResponse response = this.reader.endOfInput().get();
		Truth.assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("hello");
		Truth.assertThat(response.closesConnection()).isTrue();
	}

	@Test
	void aTruncatedResponseIsNotReturned() throws IOException {
		read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
		Truth.assertThat(this.reader.endOfInput().isPresent()).isFalse();
	}

	@Test
	void aMalformedResponseIsAnError() {
		assertMalformed("200 hello\r\n\r\n");
	}

	@Test
	void aLengthThatIsNotANumberIsAnError() {
		assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n");
	}

	private void assertMalformed(String text) {
		boolean failed = false;
		try {
			read(text);
		}
		catch (IOException ex) {
			failed = true;
		}
		Truth.assertThat(failed).isTrue();
	}

	private void assertCompleteWithLastByte(String text) throws IOException {
		for (int index = 0; index < text.length() - 1; index++) {
			Truth.assertThat(read(text.substring(index, index + 1)).isPresent()).isFalse();
		}
		HttpClientResponse response = read(text.substring(text.length() - 1)).get();
		Truth.assertThat(response.status()).isEqualTo(200);
		Truth.assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("hello");
		Truth.assertThat(response.closesConnection()).isFalse();
	}

	private Optional<HttpClientResponse> read(String text) throws IOException {
		this.reader.add(ByteString.fromString(text, StandardCharsets.ISO_8859_1));
		return this.reader.next();
	}

}
