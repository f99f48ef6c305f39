package io.carawaylift.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.QuotaCount;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.Release;
import io.carawaylift.model.UpstreamMeasure;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a message type without a number and against a field that is lost in encoding. */
final class MessageCodecTest {
    private static final EntryProcess PROCESS = new EntryProcess("h1", 1_790_000_000_000L);

    static Stream<Message> messages() {
        Member member = new Member(
                PROCESS, "r", "r-a", "s", "http://e", "http://l", "http://a", "127.0.0.1:1", MemberState.ACTIVE);
        MemberReport report = new MemberReport(
                member, 9, 4, List.of(new Release("e1", 3)), List.of(new UpstreamMeasure("u", 1, 2.5, 0, 3)));
        return Stream.of(
                new Message.Hello("control", "h1", "r", "r-a", "127.0.0.1:1", null, 77),
                new Message.Hello("entry", "h1", null, null, null, PROCESS, 78),
                new Message.Ping(),
                new Message.Heartbeat(report),
                new Message.HeartbeatConfirmed(PROCESS, 9, Map.of("owners/r-a", 5L)),
                new Message.HeartbeatAcknowledged(PROCESS, "h2", 9, Map.of()),
                new Message.ProcessEnded(PROCESS),
                new Message.RecordValue("table", 3, RecordBytes.of("{}")),
                new Message.RecordDelta("table", 3, 4, -1, List.of(new Message.LineEdit(2, 1, List.of("x", "")))),
                new Message.RecordsComplete(),
                new Message.StoreDigest(-5, true),
                new Message.StoreVersions(Map.of("table", 3L), true, false),
                new Message.RecordRequest(List.of("table")),
                new Message.HostReport("host-1", "r", "d", 7L, "10.0.0.1:80", true, false, 0.6, Map.of("service", 1.5)),
                new Message.ObjectChanges(
                        "kind",
                        3,
                        7,
                        List.of(
                                new Message.ObjectChange("a", 2, 5, false, 0, RecordBytes.of("{}")),
                                new Message.ObjectChange("b", 3, 6, true, 1500, RecordBytes.of("")))),
                new Message.ObjectPositions(true, 250, List.of(new Message.ObjectPosition("kind", 3, 9, -7))),
                new Message.ObjectsRequest("kind"),
                new Message.EndpointLeaving("endpoint-1", 7L),
                new Message.FreshnessRequest(5),
                new Message.FreshnessReply(5, -9, 1234, 7),
                new Message.QuotaReport(1L << 60, Map.of("customer", new QuotaCount(9, 1, 2, 3, 0, 400))),
                new Message.QuotaSums(7, 6, 67, Map.of("customer", new QuotaCount(9000, 1, 2, 3, 0, 400))),
                new Message.RegionReports(List.of(
                        new Message.RegionReport(
                                "r",
                                3,
                                List.of(new Message.HostReport("h", "r", "d", 7L, "a:1", true, true, 1.5, Map.of())),
                                Map.of("service", 2.5)),
                        new Message.RegionReport("q", 4, null, Map.of()))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void everyMessageSurvivesARoundTrip(Message message) {
        assertThat(MessageCodec.decode(MessageCodec.encode(message))).hasValue(message);
    }

    @Test
    void everyPermittedMessageIsTested() {
        assertThat(messages().map(Message::getClass).distinct().count())
                .isEqualTo(Message.class.getPermittedSubclasses().length);
    }

    @Test
    void anUnknownTypeIsSkippedSoThatNewerProgramsCanAddMessages() {
        assertThat(MessageCodec.decode(new byte[] {99, 1, 2})).isEmpty();
    }

    @Test
    void malformedBytesAreRejectedWithAResultCode() {
        assertThrows(CarawayliftException.class, () -> MessageCodec.decode(new byte[] {3, (byte) 0xc1}));
    }

    /** Guards against messages between each host and its relays, several times a second, that grow unnoticed. */
    @Test
    void messagesAboutTheAgeOfTheConfigurationAreShort() {
        assertThat(MessageCodec.encode(new Message.FreshnessRequest(Long.MAX_VALUE)).length)
                .isAtMost(11);
        assertThat(MessageCodec.encode(new Message.FreshnessReply(
                                Long.MAX_VALUE, Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE))
                        .length)
                .isAtMost(38);
    }
}
