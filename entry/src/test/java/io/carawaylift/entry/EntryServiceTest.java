package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The request path end to end, with entry processes, callers and endpoints in one test process. */
@Timeout(60)
class EntryServiceTest {
    private final EntryCluster cluster = new EntryCluster();
    private final EntryProcess first = cluster.start("h1");

    @AfterEach
    void stop() {
        cluster.close();
    }

    @Test
    void aRequestReachesTheEndpointThroughItsOwner() throws IOException {
        EntryProcess second = cluster.start("h2");
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("hello"))) {
            cluster.endpoint("e1", upstream, 2, second).publish();
            EntryCluster.Result viaOwner = cluster.get(first, "/s/rooms?day=1");
            EntryCluster.Result direct = cluster.get(second, "/s/rooms?day=1");
            assertThat(viaOwner.body()).isEqualTo("hello");
            assertThat(direct.body()).isEqualTo("hello");
            assertThat(viaOwner.code()).isEqualTo(ResultCode.ANSWERED.number());
            assertThat(upstream.runs()).hasSize(2);
            assertThat(upstream.runs().get(0).line()).isEqualTo("GET /rooms?day=1 HTTP/1.1");
        }
    }
}
