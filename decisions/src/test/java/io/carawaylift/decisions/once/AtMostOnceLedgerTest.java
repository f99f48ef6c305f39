package io.carawaylift.decisions.once;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.decisions.once.AttemptDecision.Step;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Ticket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AtMostOnceLedgerTest {
    private static final long WINDOW = 60_000_000_000L;
    private static final EntryProcess SELF = new EntryProcess("h1", 7);

    private final AtMostOnceLedger<Integer, String> ledger = ledger(3);

    private static AtMostOnceLedger<Integer, String> ledger(int capacity) {
        return AtMostOnceLedger.<Integer, String>builder()
                .self(SELF)
                .capacity(capacity)
                .maxStoredBytes(100_000)
                .build();
    }

    private static String nonce(int number) {
        return String.format("%032x", number);
    }

    private Ticket ticket(int number, long now) {
        return ledger.issue(List.of(nonce(number)), now).get(0);
    }

    @Test
    void aRetryJoinsThePendingAttemptAndReceivesItsResponse() {
        Ticket ticket = ticket(1, 0);
        assertThat(ledger.attempt(ticket, 1, 0).step()).isEqualTo(Step.RUN);
        assertThat(ledger.attempt(ticket, 2, 0).step()).isEqualTo(Step.JOINED);
        assertThat(ledger.answered(ticket, "yes", 3)).containsExactly(1, 2);
        AttemptDecision<String> third = ledger.attempt(ticket, 3, 0);
        assertThat(third.code()).isEqualTo(ResultCode.REPLAYED);
        assertThat(third.response()).hasValue("yes");
    }

    @Test
    void aTicketThatDidNotRunMayRunAgain() {
        Ticket ticket = ticket(1, 0);
        ledger.attempt(ticket, 1, 0);
        assertThat(ledger.notRun(ticket)).containsExactly(1);
        assertThat(ledger.attempt(ticket, 2, 0).step()).isEqualTo(Step.RUN);
    }

    @Test
    void aTicketWithUnknownOutcomeNeverRunsAgain() {
        Ticket ticket = ticket(1, 0);
        ledger.attempt(ticket, 1, 0);
        ledger.unknown(ticket, ResultCode.TIMED_OUT);
        assertThat(ledger.attempt(ticket, 2, 0).code()).isEqualTo(ResultCode.TIMED_OUT);
    }

    @Test
    void aLargeOrEvictedResponseIsNotReplayed() {
        Ticket large = ticket(1, 0);
        ledger.attempt(large, 1, 0);
        ledger.answered(large, "large", AtMostOnceLedger.MAX_STORED_RESPONSE_BYTES + 1);
        Ticket evicted = ticket(2, 0);
        ledger.attempt(evicted, 2, 0);
        ledger.answered(evicted, "old", AtMostOnceLedger.MAX_STORED_RESPONSE_BYTES);
        Ticket newest = ticket(3, 0);
        ledger.attempt(newest, 3, 0);
        ledger.answered(newest, "new", AtMostOnceLedger.MAX_STORED_RESPONSE_BYTES);
        assertThat(ledger.attempt(large, 4, 0).code()).isEqualTo(ResultCode.ANSWER_NOT_KEPT);
        assertThat(ledger.attempt(evicted, 5, 0).code()).isEqualTo(ResultCode.ANSWER_NOT_KEPT);
        assertThat(ledger.attempt(newest, 6, 0).code()).isEqualTo(ResultCode.REPLAYED);
    }

    @Test
    void aTicketExpiresByWindowButAPendingOneIsStillJoined() {
        Ticket unused = ticket(1, 0);
        Ticket pending = ticket(2, 0);
        ledger.attempt(pending, 1, 0);
        long later = 11 * WINDOW;
        assertThat(ledger.attempt(unused, 2, later - 1).step()).isEqualTo(Step.RUN);
        Ticket future = new Ticket(SELF, 12, nonce(3));
        assertThat(ledger.attempt(future, 3, later).code()).isEqualTo(ResultCode.BAD_REQUEST);
        assertThat(ledger.attempt(pending, 4, later).step()).isEqualTo(Step.JOINED);
        ledger.answered(pending, "yes", 3);
        assertThat(ledger.attempt(pending, 5, later).code()).isEqualTo(ResultCode.TICKET_EXPIRED);
        assertThat(ledger.size()).isEqualTo(1);
    }

    @Test
    void aFullLedgerRefusesNewTicketsAndEvictsOnlyThoseThatDidNotRun() {
        for (int number = 1; number <= 3; number++) {
            ledger.attempt(ticket(number, 0), number, 0);
        }
        Ticket fourth = ticket(4, 0);
        assertThat(ledger.attempt(fourth, 4, 0).code()).isEqualTo(ResultCode.LEDGER_FULL);
        ledger.notRun(ticket(2, 0));
        assertThat(ledger.attempt(fourth, 5, 0).step()).isEqualTo(Step.RUN);
        assertThat(ledger.size()).isEqualTo(3);
    }

    @Test
    void ticketsOfAnotherProcessAreRejected() {
        Ticket foreign = new Ticket(new EntryProcess("h1", 6), 0, nonce(1));
        assertThrows(IllegalArgumentException.class, () -> ledger.attempt(foreign, 1, 0));
    }

    @Test
    void removingTheLastWaiterIsReported() {
        Ticket ticket = ticket(1, 0);
        ledger.attempt(ticket, 1, 0);
        ledger.attempt(ticket, 2, 0);
        assertThat(ledger.removeWaiter(ticket, 1)).isFalse();
        assertThat(ledger.removeWaiter(ticket, 2)).isTrue();
    }

    /** Guards against a second run of a ticket under random interleavings of attempts, results, expiry and eviction. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 5, 8, 13, 21, 34})
    void aTicketRunsAtMostOnceUnlessTheEarlierRunDidNotRun(long seed) {
        Random random = new Random(seed);
        AtMostOnceLedger<Integer, String> subject = ledger(20);
        List<Ticket> issued = new ArrayList<>();
        Set<Ticket> running = new LinkedHashSet<>();
        Set<Ticket> mayHaveRun = new HashSet<>();
        Map<Ticket, Integer> waiting = new HashMap<>();
        long now = 0;
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(4) == 0 ? random.nextLong(WINDOW) : 0;
            if (issued.isEmpty() || random.nextInt(5) == 0) {
                issued.addAll(subject.issue(List.of(nonce(step)), now));
            }
            Ticket ticket = issued.get(Math.max(0, issued.size() - 1 - random.nextInt(30)));
            if (!running.isEmpty() && random.nextInt(3) == 0) {
                Ticket ended = List.copyOf(running).get(random.nextInt(running.size()));
                finish(subject, ended, random, mayHaveRun, waiting);
                running.remove(ended);
                continue;
            }
            AttemptDecision<String> attempt = subject.attempt(ticket, step, now);
            if (attempt.step() == Step.RUN) {
                assertThat(mayHaveRun).doesNotContain(ticket);
                assertThat(running.add(ticket)).isTrue();
            }
            assertThat(attempt.step() == Step.JOINED).isEqualTo(running.contains(ticket) && attempt.step() != Step.RUN);
            if (attempt.step() != Step.FINISHED) {
                waiting.merge(ticket, 1, Integer::sum);
            }
            assertThat(subject.size()).isAtMost(20);
        }
        assertThat(mayHaveRun.size()).isGreaterThan(100);
    }

    private static void finish(
            AtMostOnceLedger<Integer, String> subject,
            Ticket ticket,
            Random random,
            Set<Ticket> mayHaveRun,
            Map<Ticket, Integer> waiting) {
        int result = random.nextInt(3);
        List<Integer> waiters;
        if (result == 0) {
            waiters = subject.notRun(ticket);
        } else {
            mayHaveRun.add(ticket);
            waiters = result == 1
                    ? subject.answered(ticket, "yes", random.nextInt(100_000))
                    : subject.unknown(ticket, ResultCode.CONNECTION_LOST);
        }
        assertThat(waiters).hasSize(waiting.remove(ticket));
    }
}
