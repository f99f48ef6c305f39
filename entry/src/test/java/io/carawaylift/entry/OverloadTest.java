package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.entry.EntryCluster.Result;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Headers;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against overused slots, mixed-up responses, and "not run" for requests that ran, under overload. */
@Timeout(120)
class OverloadTest {
    private static final int CALLERS = 24;
    private static final int REQUESTS_PER_CALLER = 40;
    private static final int SLOTS = 2;
    private static final long SEED = 11;
    private static final List<Rank> RANKS = List.of(Rank.URGENT, Rank.STANDARD, Rank.DEFERRABLE);

    private final EntryCluster cluster = new EntryCluster();
    private final EntryProcess first = cluster.start("h1");
    private final EntryProcess second = cluster.start("h2");
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger maxRunning = new AtomicInteger();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<Outcome, AtomicInteger> outcomes = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        cluster.close();
    }

    private ScriptedUpstream upstream() throws IOException {
        return new ScriptedUpstream((run, out) -> {
            maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
            String path = run.requestLine().split(" ", -1)[1];
            ran.add(path);
            TimeUnit.MILLISECONDS.sleep(3);
            running.decrementAndGet();
            return ScriptedUpstream.ok(path).respond(run, out);
        });
    }

    private Void call(int caller) throws IOException {
        Random random = new Random(SEED + caller);
        for (int number = 0; number < REQUESTS_PER_CALLER; number++) {
            String path = "/" + caller + "-" + number;
            Request.Builder request = cluster.request(random.nextBoolean() ? first : second, "/s" + path)
                    .header(
                            Headers.RANK,
                            RANKS.get(random.nextInt(RANKS.size())).label())
                    .header(Headers.CUSTOMER, "c" + random.nextInt(3))
                    .header(Headers.DEADLINE_MS, Integer.toString(500 + random.nextInt(1500)));
            check(path, cluster.call(request.build()));
        }
        return null;
    }

    private void check(String path, Result result) {
        Outcome outcome = ResultCode.ofNumber(result.code()).orElseThrow().outcome();
        outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
        if (outcome == Outcome.ANSWERED) {
            assertThat(result.body()).isEqualTo(path);
        }
        if (outcome == Outcome.NOT_RUN) {
            assertThat(ran).doesNotContain(path);
        }
    }

    @Test
    void slotLimitHoldsAndOutcomesAreCorrectUnderOverload() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try (ScriptedUpstream upstream = upstream()) {
            cluster.endpoint("e1", upstream, SLOTS, second).publish();
            List<Callable<Void>> tasks = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                tasks.add(() -> call(number));
            }
            for (Future<Void> task : callers.invokeAll(tasks)) {
                task.get();
            }
        } finally {
            callers.shutdownNow();
        }
        assertThat(maxRunning.get()).isAtMost(SLOTS);
        assertThat(outcomes.get(Outcome.ANSWERED).get()).isAtLeast(CALLERS);
        int total = outcomes.values().stream().mapToInt(AtomicInteger::get).sum();
        assertThat(total).isEqualTo(CALLERS * REQUESTS_PER_CALLER);
    }
}
