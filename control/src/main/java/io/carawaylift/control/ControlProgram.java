package io.carawaylift.control;

import io.carawaylift.runtime.Program;

/** Main class of {@code carawaylift-control}. */
public final class ControlProgram {
    private ControlProgram() {}

    /** Runs the control program; the only argument is the path of the settings file. */
    public static void main(String[] args) {
        new Program(
                        "carawaylift-control",
                        settings -> ControlService.builder().settings(settings).build())
                .run(args);
    }
}
