package io.carawaylift.testing;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.testing.platform.SimulatedPlatform;

/** Runs a simulated platform as a separate process. */
@Command(name = "platform", description = "Runs a simulated platform")
public final class PlatformProgram {
    @Option(name = "--address", description = "IP address to listen on")
    private String address = "127.0.0.1";

    @Option(name = "--port", description = "Port of the object API")
    private int port = 8000;

    @Option(name = "--control-port", description = "Port of the control interface")
    private int controlPort = 8001;

    /** Runs the program. */
    public static void main(String[] args) {
        PlatformProgram program = Programs.parse(PlatformProgram.class, args);
        Programs.runUntilSignal(new SimulatedPlatform(program.address, program.port, program.controlPort));
    }
}
