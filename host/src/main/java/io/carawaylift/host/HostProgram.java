package io.carawaylift.host;

import io.carawaylift.runtime.Program;
import io.carawaylift.runtime.Settings;
import java.io.FileDescriptor;
import java.io.FileOutputStream;

/** The program of an entry host on the users' platform. */
public final class HostProgram {
    /** Names the settings file if no argument does. */
    static final String SETTINGS_VARIABLE = "CARAWAYLIFT_BOOT";

    private HostProgram() {}

    /** Runs until the process is told to stop; the one argument, or a variable, names the settings file. */
    public static void main(String[] args) {
        String named = System.getenv(SETTINGS_VARIABLE);
        String[] file = args.length == 0 && named != null ? new String[] {named} : args;
        new Program("carawaylift-host", HostProgram::service).run(file);
    }

    private static HostService service(Settings settings) {
        HostOptions options = HostOptions.of(settings);
        EventLog log = new EventLog(options.host().id(), new FileOutputStream(FileDescriptor.out));
        EventLoggerFinder.setTarget(log);
        return new HostService(options, log, new SettingsFile(settings.path(), settings.source(), log));
    }
}
