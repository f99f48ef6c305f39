package io.carawaylift.testing.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.carawaylift.testing.caller.PartReport;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints the results of steps as tables and collects them for a JSON file. */
final class ReportPrinter {

    private final PrintStream out;
    private final List<StepReport> steps = new ArrayList<>();

    ReportPrinter(PrintStream out) {
        this.out = out;
    }

    void line(String text) {
        out.println(text);
    }

    void add(StepReport step) {
        steps.add(step);
        out.println();
        out.println(step.site() + ": " + step.step());
        if (!step.parts().isEmpty()) {
            out.printf(
                    Locale.ROOT,
                    "  %-14s %-10s %7s %7s %8s %7s %8s %7s %7s %5s %5s %5s %5s %8s %8s%n",
                    "work",
                    "rank",
                    "rate/s",
                    "offered",
                    "answered",
                    "in time",
                    "not run",
                    "unknown",
                    "unsent",
                    "wrong",
                    "short",
                    "error",
                    "cut",
                    "p50 ms",
                    "p99 ms");
            step.parts().forEach(this::printRow);
        }
        if (step.verdict() != null) {
            printVerdict(step.verdict());
        }
        step.facts().forEach((name, value) -> out.println("  " + name + ": " + value));
        out.flush();
    }

    /** Returns the number of steps with violated guarantees or with wrong or truncated responses. */
    long failedSteps() {
        return steps.stream()
                .filter(step -> step.verdict() != null)
                .filter(step -> !step.verdict().isClean()
                        || step.parts().stream().anyMatch(part -> part.wrong() + part.shortAnswers() > 0))
                .count();
    }

    void write(Path file) {
        try {
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), steps);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write results to " + file, e);
        }
    }

    private void printRow(PartReport part) {
        out.printf(
                Locale.ROOT,
                "  %-14s %-10s %7.0f %7d %8d %7d %8d %7d %7d %5d %5d %5d %5d %8.1f %8.1f%n",
                part.name(),
                part.rank(),
                part.ratePerSecond(),
                part.offered(),
                part.answered(),
                part.inTime(),
                part.notRun(),
                part.unknown(),
                part.notOffered(),
                part.wrong(),
                part.shortAnswers(),
                part.errorStatus(),
                part.cutAttempts(),
                part.p50Ms(),
                part.p99Ms());
    }

    private void printVerdict(Verdict verdict) {
        out.printf(
                Locale.ROOT,
                "  once-only run twice %d, \"not run\" that ran %d, answered without run %d, "
                        + "endpoints over their slots %d (by %d at most)%n",
                verdict.onceOnlyRunTwice(),
                verdict.notRunThatRan(),
                verdict.answeredWithoutRun(),
                verdict.endpointsOverSlots(),
                verdict.mostOverSlots());
        verdict.examples().forEach(example -> out.println("    " + example));
    }
}
