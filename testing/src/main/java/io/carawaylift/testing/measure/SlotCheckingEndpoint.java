package io.carawaylift.testing.measure;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.ResultCode;
import java.util.HashMap;
import java.util.Map;

/** Counts the requests in flight at an endpoint and throws {@link CarawayliftException} if they exceed its slots. */
final class SlotCheckingEndpoint {
    private final Endpoint endpoint;
    private final Map<EntryProcess, Integer> inFlight = new HashMap<>();
    private int total;

    SlotCheckingEndpoint(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    int inFlight(EntryProcess process) {
        return inFlight.getOrDefault(process, 0);
    }

    void requestStarted(EntryProcess process, long nowNanos) {
        inFlight.merge(process, 1, Integer::sum);
        total++;
        if (total > endpoint.slots()) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED,
                    "endpoint " + endpoint.id() + " has " + inFlight + " in flight at " + nowNanos / 1_000_000
                            + " ms, expected at most " + endpoint.slots());
        }
    }

    void requestEnded(EntryProcess process) {
        inFlight.computeIfPresent(process, (key, count) -> count == 1 ? null : count - 1);
        total--;
    }
}
