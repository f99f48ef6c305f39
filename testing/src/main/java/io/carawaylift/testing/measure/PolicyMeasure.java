package io.carawaylift.testing.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Compares the admission policy with its baselines in virtual time and writes the results as JSON. The same seed gives the
 * same results.
 */
@Command(name = "policy-measure", description = "Measures admission against its baselines in virtual time")
public final class PolicyMeasure {
    private static final long SECONDS_PER_MINUTE = 60;

    @Arguments(
            title = {"seed", "minutes"},
            description = "Seed and minutes of virtual time per measured interval")
    private List<Long> arguments = new ArrayList<>();

    @Option(
            name = {"--out"},
            description = "File for the figures as JSON")
    private String out = "target/policy-measure.json";

    /** Creates the command; the parser sets its fields. */
    public PolicyMeasure() {}

    /** Runs the measurement. */
    public static void main(String[] args) throws IOException {
        SingleCommand.singleCommand(PolicyMeasure.class).parse(args).run();
    }

    private void run() throws IOException {
        if (arguments.size() != 2 || arguments.get(1) < 1) {
            throw new IllegalArgumentException(
                    "expected two arguments, seed and minutes (at least 1), but got " + arguments);
        }
        long seed = arguments.get(0);
        long measuredNanos = arguments.get(1) * SECONDS_PER_MINUTE * Traffic.NANOS_PER_SECOND;
        List<PolicyResult> results = new ArrayList<>();
        System.out.println(PolicyResult.HEADER);
        for (ServiceSize size : ServiceSize.ALL) {
            for (Scenario scenario : Scenario.values()) {
                for (Policy policy : policies(size)) {
                    PolicyResult result = measure(size, scenario, policy, measuredNanos, seed);
                    System.out.println(result.row());
                    results.add(result);
                }
            }
        }
        write(Map.of("seed", seed, "minutes", arguments.get(1), "results", results));
    }

    private static List<Policy> policies(ServiceSize size) {
        return List.of(
                new OwnerQueues(size), new SplitFifo(size), new NoAdmission(size, true), new NoAdmission(size, false));
    }

    private static PolicyResult measure(
            ServiceSize size, Scenario scenario, Policy policy, long measuredNanos, long seed) {
        RunMetrics metrics = new RunMetrics(size, measuredNanos);
        Traffic traffic = new Traffic(size, scenario, measuredNanos, seed);
        new Simulation(size, policy, traffic, metrics).run();
        return PolicyResult.of(size, scenario, policy, metrics);
    }

    private void write(Map<String, Object> figures) throws IOException {
        Path file = Path.of(out).toAbsolutePath();
        Files.createDirectories(file.getParent());
        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(file.toFile(), figures);
    }
}
