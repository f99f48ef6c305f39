package io.carawaylift.testing;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.testing.upstream.SimulatedUpstream;
import io.carawaylift.testing.upstream.UpstreamPlan;
import java.nio.file.Path;

/** Runs simulated endpoints in a separate process. */
@Command(name = "upstream", description = "Runs simulated endpoints")
public final class UpstreamProgram {
    @Arguments(title = "PLAN", description = "JSON file that describes the endpoints, see UpstreamPlan")
    @Required
    private String plan;

    /** Runs the program. */
    public static void main(String[] args) {
        UpstreamProgram program = Programs.parse(UpstreamProgram.class, args);
        Programs.runUntilSignal(new SimulatedUpstream(UpstreamPlan.read(Path.of(program.plan))));
    }
}
