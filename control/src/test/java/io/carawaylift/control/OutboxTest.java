package io.carawaylift.control;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class OutboxTest {
    private final ReplicaStore store = new ReplicaStore();
    private final FakeConnection connection = new FakeConnection();
    private final Outbox outbox = new Outbox(connection, store, new DeltaCache());

    /** Guards against buffering every change while a receiver does not read. */
    @Test
    void changesWhileTheBufferIsFullBecomeOneMessageWithTheNewestVersion() {
        connection.capacity = 0;
        for (int version = 1; version <= 3; version++) {
            store.putIfNewer("table", version, RecordBytes.of("v" + version));
            outbox.add("table", Optional.empty());
            outbox.flush();
        }
        outbox.addComplete();
        outbox.flush();
        assertThat(connection.sent).isEmpty();
        assertThat(outbox.sentVersions()).isEmpty();

        connection.capacity = 10;
        outbox.flush();

        assertThat(connection.sent)
                .containsExactly(
                        new Message.RecordValue("table", 3, RecordBytes.of("v3")), new Message.RecordsComplete())
                .inOrder();
        assertThat(outbox.sentVersions()).containsExactly("table", 3L);
    }

    @Test
    void aSmallChangeIsSentAsADeltaFromTheOldestPendingBase() {
        String rows = "row\n".repeat(200);
        store.putIfNewer("table", 1, RecordBytes.of(rows));
        ReplicaStore.Entry first = store.read("table").orElseThrow();
        store.putIfNewer("table", 2, RecordBytes.of(rows + "two\n"));
        outbox.add("table", Optional.of(first));
        ReplicaStore.Entry second = store.read("table").orElseThrow();
        store.putIfNewer("table", 3, RecordBytes.of(rows + "two\nthree\n"));
        outbox.add("table", Optional.of(second));

        outbox.flush();

        Message.RecordDelta delta = (Message.RecordDelta) connection.sent.get(0);
        assertThat(delta.fromVersion()).isEqualTo(1);
        assertThat(delta.toVersion()).isEqualTo(3);
        assertThat(connection.sent).hasSize(1);
    }

    /** Guards against sending one more delta to a receiver that requested the full record. */
    @Test
    void aRequestForTheFullRecordReplacesAPendingDelta() {
        store.putIfNewer("table", 1, RecordBytes.of("a\nb\n"));
        ReplicaStore.Entry first = store.read("table").orElseThrow();
        store.putIfNewer("table", 2, RecordBytes.of("a\nb\nc\n"));
        outbox.add("table", Optional.of(first));
        outbox.add("table", Optional.empty());

        outbox.flush();

        assertThat(connection.sent).containsExactly(new Message.RecordValue("table", 2, RecordBytes.of("a\nb\nc\n")));
    }

    /** A connection that accepts a limited number of messages. */
    private static final class FakeConnection implements Connection {
        private final List<Message> sent = new ArrayList<>();
        private int capacity = 10;

        @Override
        public Message.Hello remote() {
            return new Message.Hello("control", "h2", "r", "r-a", "127.0.0.1:1", null, 1);
        }

        @Override
        public boolean send(Message message) {
            return capacity-- > 0 && sent.add(message);
        }

        @Override
        public boolean isWritable() {
            return capacity > 0;
        }

        @Override
        public void close() {}
    }
}
