package io.carawaylift.peer;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.RecordBytes;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ControlLinksTest {
    private static final EntryProcess PROCESS = new EntryProcess("h1", 5);
    private static final Message.Hello CONTROL_HELLO =
            new Message.Hello("control", "h1", "r", "r-a", "127.0.0.1:1", null, 1);

    private final PeerNetwork network = PeerNetwork.builder().build();
    private final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final int port = network.listen("127.0.0.1", 0, CONTROL_HELLO, new ConnectionRecorder());
    private final ControlLink link = ControlLinks.builder()
            .address("127.0.0.1:" + port)
            .identity(new ControlLink.Identity("entry", PROCESS, 42))
            .build();

    @AfterEach
    void close() {
        link.stop();
        network.close();
    }

    @Test
    void theControlProgramReceivesTheIdentityAndHeartbeats() throws InterruptedException {
        link.start(new EventRecorder());
        Connection connection = awaitNext(connections);
        MemberReport report = report();

        link.sendHeartbeat(report);
        while (received.peek() == null) {
            // Heartbeats are dropped until the hello message of the control program has arrived.
            link.sendHeartbeat(report);
            TimeUnit.MILLISECONDS.sleep(10);
        }

        assertThat(connection.remote().process()).isEqualTo(PROCESS);
        assertThat(connection.remote().processId()).isEqualTo(42);
        assertThat(awaitNext(received)).isEqualTo(new Message.Heartbeat(report));
    }

    @Test
    void everyKindOfMessageReachesTheListenerInOrder() throws InterruptedException {
        link.start(new EventRecorder());
        Connection connection = awaitNext(connections);

        connection.send(new Message.RecordValue("table", 3, RecordBytes.of("abc")));
        connection.send(new Message.RecordsComplete());
        connection.send(new Message.HeartbeatConfirmed(PROCESS, 8, Map.of("owners/r-a", 2L)));
        connection.send(new Message.HeartbeatAcknowledged(PROCESS, "h2", 9, Map.of()));
        connection.close();

        assertThat(awaitNext(events)).isEqualTo("table 3 abc");
        assertThat(awaitNext(events)).isEqualTo("synchronized");
        assertThat(awaitNext(events)).isEqualTo("confirmed 8 {owners/r-a=2}");
        assertThat(awaitNext(events)).isEqualTo("acknowledged h2 9");
        assertThat(awaitNext(events)).isEqualTo("disconnected");
        assertThat(awaitNext(connections)).isNotSameInstanceAs(connection);
    }

    private static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T value = queue.poll(20, TimeUnit.SECONDS);
        assertThat(value).isNotNull();
        return value;
    }

    private static MemberReport report() {
        Member member = new Member(PROCESS, "r", "r-a", "s", "e", "l", "a", "c", MemberState.ACTIVE);
        return new MemberReport(member, 1, 0, List.of(), List.of());
    }

    private final class ConnectionRecorder implements PeerListener {
        @Override
        public void opened(Connection connection) {
            connections.add(connection);
        }

        @Override
        public void received(Connection connection, Message message) {
            received.add(message);
        }

        @Override
        public void closed(Connection connection) {}
    }

    private final class EventRecorder implements ControlLink.Listener {
        @Override
        public void recordChanged(String name, long version, RecordBytes value) {
            events.add(name + " " + version + " " + value.text());
        }

        @Override
        public void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions) {
            events.add("confirmed " + heartbeat + " " + ownersVersions);
        }

        @Override
        public void successorAcknowledged(String successorHost, long heartbeat) {
            events.add("acknowledged " + successorHost + " " + heartbeat);
        }

        @Override
        public void synchronizedWithControl() {
            events.add("synchronized");
        }

        @Override
        public void disconnected() {
            events.add("disconnected");
        }
    }
}
