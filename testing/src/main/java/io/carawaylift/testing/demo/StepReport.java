package io.carawaylift.testing.demo;

import io.carawaylift.testing.caller.PartReport;
import java.util.List;
import java.util.Map;

/**
 * Results of one step of the demonstration.
 *
 * @param parts results of the load, empty for a step without one
 * @param verdict null for a step without a load
 * @param facts further measurements by name, in print order
 */
public record StepReport(String site, String step, List<PartReport> parts, Verdict verdict, Map<String, Object> facts) {
    public StepReport {
        parts = List.copyOf(parts);
    }
}
