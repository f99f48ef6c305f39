package io.carawaylift.testing.demo;

import io.carawaylift.model.Outcome;
import io.carawaylift.testing.caller.Load;
import io.carawaylift.testing.upstream.EndpointStatistics;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What must not happen, judged by comparing the callers' conclusions with the runs that the endpoints counted.
 *
 * @param onceOnlyRunTwice once-only calls that ran more than once
 * @param notRunThatRan calls that the callers were told had not run, but had
 * @param answeredWithoutRun calls with an answer that no endpoint gave
 * @param endpointsOverSlots endpoints with more requests in flight than slots at some time
 * @param mostOverSlots highest such excess
 * @param examples paths and endpoints to look into, a few of each kind
 */
public record Verdict(
        long onceOnlyRunTwice,
        long notRunThatRan,
        long answeredWithoutRun,
        long endpointsOverSlots,
        int mostOverSlots,
        List<String> examples) {
    private static final int MAX_EXAMPLES = 5;

    public Verdict {
        examples = List.copyOf(examples);
    }

    /** Judges a load that has ended. */
    public static Verdict of(Load load, UpstreamProcesses upstreams) {
        return new Judge(load, upstreams).judge();
    }

    /** Returns whether nothing of it happened. */
    public boolean isClean() {
        return onceOnlyRunTwice == 0 && notRunThatRan == 0 && answeredWithoutRun == 0 && endpointsOverSlots == 0;
    }

    private static final class Judge {
        private final Load load;
        private final Map<String, Integer> once;
        private final Map<String, Integer> repeatable;
        private final List<EndpointStatistics> endpoints;
        private final List<String> examples = new ArrayList<>();
        private long twice;
        private long notRunThatRan;
        private long answeredWithoutRun;

        Judge(Load load, UpstreamProcesses upstreams) {
            this.load = load;
            this.once = upstreams.runs("once");
            this.repeatable = upstreams.runs("repeatable");
            this.endpoints = upstreams.statistics();
        }

        Verdict judge() {
            load.outcomes().forEach(this::judge);
            long over = 0;
            int most = 0;
            for (EndpointStatistics endpoint : endpoints) {
                int excess = endpoint.peakInFlight() - endpoint.slots();
                if (excess > 0) {
                    over++;
                    most = Math.max(most, excess);
                    example("over slots: " + endpoint.id() + " by " + excess);
                }
            }
            return new Verdict(twice, notRunThatRan, answeredWithoutRun, over, most, examples);
        }

        private void judge(String path, Outcome outcome) {
            int runs = once.getOrDefault(path, 0) + repeatable.getOrDefault(path, 0);
            if (once.getOrDefault(path, 0) > 1) {
                twice++;
                example("ran " + runs + " times: " + path);
            }
            if (outcome == Outcome.NOT_RUN && runs > 0) {
                notRunThatRan++;
                example("not run, but ran: " + path);
            }
            if (outcome == Outcome.ANSWERED && runs == 0) {
                answeredWithoutRun++;
                example("answered without run: " + path);
            }
        }

        private void example(String text) {
            if (examples.size() < MAX_EXAMPLES) {
                examples.add(text);
            }
        }
    }
}
