package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class EventLogTest {
    /** Guards against a log line that is not valid JSON because a value has quotes or line breaks. */
    @Test
    void everyLineIsOneJsonObject() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = new EventLog("host-1", out);
        log.event(
                "test", line -> line.put("text", "a \"b\"\nc").put("number", 7).put("ratio", 0.5));
        log.close();

        JsonNode line = new ObjectMapper().readTree(out.toString(StandardCharsets.UTF_8));
        assertThat(line.path("text").asText()).isEqualTo("a \"b\"\nc");
        assertThat(line.path("host").asText()).isEqualTo("host-1");
    }

    /** Guards against requests that block when nothing reads the log output, and against unreported loss of lines. */
    @Test
    void aBlockedOutputDoesNotBlockCallersAndDroppedLinesAreCountedAndLogged() throws Exception {
        CountDownLatch open = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        EventLog log = new EventLog("host-1", new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    open.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                written.write(b);
            }
        });
        for (int i = 0; i < 20_000; i++) {
            log.event("flood", line -> line.put("number", 1));
        }

        assertThat(log.droppedLines()).isGreaterThan(10_000L);
        open.countDown();
        HostFixture.await(() -> written.toString(StandardCharsets.UTF_8).contains("log.dropped"));
    }
}
