package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ResponseBytesTest {
    private static final int MEBIBYTE = 1024 * 1024;
    private static final int BLOCK = 60_000;

    private final ResponseBytes bytes = new ResponseBytes(8 * MEBIBYTE);

    /** Receives blocks of which a fraction is content, up to the first that is refused; returns the bytes until then. */
    private long receiveBlocks(int contentOfBlock) {
        while (bytes.receive(BLOCK, false)) {
            bytes.decoded(contentOfBlock);
        }
        return bytes.received();
    }

    /** Guards against a body of tiny chunks whose decoding keeps the event loop from all other requests for seconds. */
    @Test
    void aBodyOfTinyChunksIsRefusedLongBeforeItReachesTheLimitOfContent() {
        assertThat(receiveBlocks(BLOCK / 6)).isLessThan(2L * MEBIBYTE);
    }

    @Test
    void aBodyOfContentOrOfChunksOfFiftyBytesMayHaveAllBytes() {
        assertThat(receiveBlocks(BLOCK)).isGreaterThan(8L * MEBIBYTE);
        bytes.reset();
        assertThat(receiveBlocks(BLOCK * 50 / 56)).isGreaterThan(8L * MEBIBYTE);
    }

    @Test
    void bytesWithoutAHeadAreRefusedAfterSixtyFourKibibytes() {
        assertThat(bytes.receive(64 * 1024, true)).isTrue();
        assertThat(bytes.receive(1, true)).isFalse();
        bytes.reset();
        assertThat(bytes.receive(64 * 1024, false)).isTrue();
    }
}
