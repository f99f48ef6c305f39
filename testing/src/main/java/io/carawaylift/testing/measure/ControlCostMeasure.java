package io.carawaylift.testing.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.testing.measure.LinearFit.Point;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the processor time, traffic and memory that the control decisions cost each node, for failure domains and fleets
 * of increasing size. Prints a table and then one line of JSON. Takes no arguments.
 */
public final class ControlCostMeasure {
    private static final int[] MEMBER_COUNTS = {10, 25, 50, 100};
    private static final int[] NODE_COUNTS = {500, 1_000, 3_100};
    /** Members per failure domain at the design size of 3,100 nodes in 63 failure domains. */
    private static final int DESIGN_MEMBER_COUNT = 50;

    /**
     * Cost of one duty at one size.
     *
     * @param duty the task and the role that performs it
     * @param dimension what {@code size} counts
     * @param cpuMicrosPerSecond processor time in microseconds per second
     * @param bytesPerSecond encoded bytes sent and received per second
     * @param memoryKib retained heap in KiB
     */
    record Sample(
            String duty,
            String dimension,
            int size,
            double cpuMicrosPerSecond,
            double bytesPerSecond,
            double memoryKib) {}

    /** Linear fits of the cost of one duty against its size. */
    record Growth(String duty, String dimension, LinearFit cpuMicros, LinearFit bytes, LinearFit memoryKib) {}

    /** Report that is printed as JSON. */
    record Report(List<Sample> samples, List<Growth> growth) {}

    private ControlCostMeasure() {}

    /** Runs all measurements. */
    public static void main(String[] arguments) throws JsonProcessingException {
        // The first pass only warms up the JIT compiler; its results are discarded.
        new DomainCost(MEMBER_COUNTS[MEMBER_COUNTS.length - 1]).samples();
        new FleetCost(NODE_COUNTS[0], DESIGN_MEMBER_COUNT).samples();
        List<Sample> samples = new ArrayList<>();
        for (int members : MEMBER_COUNTS) {
            samples.addAll(new DomainCost(members).samples());
        }
        for (int nodes : NODE_COUNTS) {
            samples.addAll(new FleetCost(nodes, DESIGN_MEMBER_COUNT).samples());
        }
        Report report = new Report(samples, fitGrowth(samples));
        print(report, System.out);
        System.out.println(new ObjectMapper().writeValueAsString(report));
    }

    private static List<Growth> fitGrowth(List<Sample> samples) {
        Map<String, List<Sample>> byDuty = new LinkedHashMap<>();
        samples.forEach(sample ->
                byDuty.computeIfAbsent(sample.duty(), duty -> new ArrayList<>()).add(sample));
        List<Growth> growth = new ArrayList<>();
        byDuty.forEach((duty, points) -> growth.add(new Growth(
                duty,
                points.get(0).dimension(),
                LinearFit.of(points.stream()
                        .map(sample -> new Point(sample.size(), sample.cpuMicrosPerSecond()))
                        .toList()),
                LinearFit.of(points.stream()
                        .map(sample -> new Point(sample.size(), sample.bytesPerSecond()))
                        .toList()),
                LinearFit.of(points.stream()
                        .map(sample -> new Point(sample.size(), sample.memoryKib()))
                        .toList()))));
        return growth;
    }

    private static void print(Report report, PrintStream out) {
        out.printf("%-28s %-8s %6s %12s %12s %10s%n", "duty", "size of", "size", "cpu us/s", "bytes/s", "KiB");
        for (Sample sample : report.samples()) {
            out.printf(
                    Locale.ROOT,
                    "%-28s %-8s %6d %12.1f %12.1f %10.1f%n",
                    sample.duty(),
                    sample.dimension(),
                    sample.size(),
                    sample.cpuMicrosPerSecond(),
                    sample.bytesPerSecond(),
                    sample.memoryKib());
        }
        out.printf("%n%-28s %-8s (slope / intercept / r2)%n", "duty", "size of");
        for (Growth growth : report.growth()) {
            out.printf("%-28s %-8s %30s %30s%n", growth.duty(), growth.dimension(), growth.cpuMicros(), growth.bytes());
        }
    }
}
