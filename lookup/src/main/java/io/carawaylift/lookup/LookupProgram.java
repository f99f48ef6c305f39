package io.carawaylift.lookup;

import io.carawaylift.runtime.Program;

/** Main class of {@code carawaylift-lookup}. */
public final class LookupProgram {
    private LookupProgram() {}

    /** Runs the lookup program; the only argument is the path of the settings file. */
    public static void main(String[] args) {
        new Program("carawaylift-lookup", settings -> new LookupService(LookupSettings.of(settings))).run(args);
    }
}
