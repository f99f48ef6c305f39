package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Headers;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against forwarding hop-by-hop headers or forged headers of carawaylift. */
class HeaderListTest {
    @Test
    void onlyEndToEndHeadersAreForwarded() {
        HeaderList headers = new HeaderList(List.of(
                new HeaderField("Connection", "close, X-Hop"),
                new HeaderField("X-Hop", "1"),
                new HeaderField("Transfer-Encoding", "chunked"),
                new HeaderField("carawaylift-code", "100"),
                new HeaderField("Accept", "a"),
                new HeaderField("accept", "b")));
        assertThat(headers.endToEnd().fields())
                .containsExactly(new HeaderField("Accept", "a"), new HeaderField("accept", "b"))
                .inOrder();
    }

    @Test
    void namesAreCaseInsensitive() {
        HeaderList headers = HeaderList.EMPTY.with(Headers.NOT_RUN, "TRUE").with("carawaylift-not-run", "true");
        assertThat(headers.fields()).hasSize(1);
        assertThat(headers.saysNotRun()).isTrue();
    }
}
