package io.carawaylift.control;

import io.carawaylift.runtime.Program;

/** Main class of {@code carawaylift-control}. */
public final class ControlProgram {
    private ControlProgram() {}

    /** Runs the control program with the settings file named by the only argument. */
    public static void main(String[] args) {
        new Program(
                        "carawaylift-control",
                        settings -> ControlService.builder().settings(settings).build())
                .run(args);
    }
}
