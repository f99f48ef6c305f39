package io.carawaylift.testing.demo;

import io.carawaylift.model.Outcome;
import io.carawaylift.testing.caller.OpenLoopLoad;
import io.carawaylift.testing.upstream.EndpointStatistics;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Violations of the guarantees, found by comparing the outcomes of the callers with the runs counted by the endpoints.
 *
 * @param onceOnlyRunTwice at-most-once calls that ran more than once
 * @param notRunThatRan calls reported to the callers as not run that had run
 * @param answeredWithoutRun calls with a response although no endpoint ran them
 * @param endpointsOverSlots endpoints that at some time had more requests in flight than slots
 * @param mostOverSlots highest such excess
 * @param examples descriptions of the first five violations
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

    /** Evaluates a load that has ended. */
    public static Verdict of(OpenLoopLoad load, UpstreamProcesses upstreams) {
        return new Evaluation(load, upstreams).evaluate();
    }

    /** Returns whether there are no violations. */
    public boolean isClean() {
        return onceOnlyRunTwice == 0 && notRunThatRan == 0 && answeredWithoutRun == 0 && endpointsOverSlots == 0;
    }

    private static final class Evaluation {
        private final OpenLoopLoad load;
        private final Map<String, Integer> atMostOnceRuns;
        private final Map<String, Integer> idempotentRuns;
        private final List<EndpointStatistics> endpoints;
        private final List<String> examples = new ArrayList<>();
        private long ranTwice;
        private long notRunThatRan;
        private long answeredWithoutRun;

        Evaluation(OpenLoopLoad load, UpstreamProcesses upstreams) {
            this.load = load;
            this.atMostOnceRuns = upstreams.runs("once");
            this.idempotentRuns = upstreams.runs("repeatable");
            this.endpoints = upstreams.statistics();
        }

        Verdict evaluate() {
            load.outcomes().forEach(this::evaluate);
            long endpointsOver = 0;
            int maxExcess = 0;
            for (EndpointStatistics endpoint : endpoints) {
                int excess = endpoint.peakInFlight() - endpoint.slots();
                if (excess > 0) {
                    endpointsOver++;
                    maxExcess = Math.max(maxExcess, excess);
                    addExample("over slots: " + endpoint.id() + " by " + excess);
                }
            }
            return new Verdict(ranTwice, notRunThatRan, answeredWithoutRun, endpointsOver, maxExcess, examples);
        }

        private void evaluate(String path, Outcome outcome) {
            int runs = atMostOnceRuns.getOrDefault(path, 0) + idempotentRuns.getOrDefault(path, 0);
            if (atMostOnceRuns.getOrDefault(path, 0) > 1) {
                ranTwice++;
                addExample("ran " + runs + " times: " + path);
            }
            if (outcome == Outcome.NOT_RUN && runs > 0) {
                notRunThatRan++;
                addExample("not run, but ran: " + path);
            }
            if (outcome == Outcome.ANSWERED && runs == 0) {
                answeredWithoutRun++;
                addExample("answered without run: " + path);
            }
        }

        private void addExample(String text) {
            if (examples.size() < MAX_EXAMPLES) {
                examples.add(text);
            }
        }
    }
}
