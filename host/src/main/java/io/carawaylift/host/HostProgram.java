package io.carawaylift.host;

import io.carawaylift.runtime.Program;
import io.carawaylift.runtime.Settings;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.concurrent.atomic.AtomicReference;

/** Main class of the program of an entry host on the users' platform. */
public final class HostProgram {
    /** Environment variable with the path of the settings file, used if there is no argument. */
    static final String SETTINGS_VARIABLE = "CARAWAYLIFT_BOOT";

    private HostProgram() {}

    /**
     * Runs until the process is stopped. The only argument, or the environment variable, is the path of the settings
     * file.
     */
    public static void main(String[] args) {
        // Installed first, since an unhandled SIGHUP terminates the process.
        AtomicReference<HostService> running = new AtomicReference<>();
        HangupSignal.handle(() -> reload(running.get()));
        String named = System.getenv(SETTINGS_VARIABLE);
        String[] file = args.length == 0 && named != null ? new String[] {named} : args;
        new Program("carawaylift-host", settings -> service(settings, running)).run(file);
    }

    /** Reloads the settings; a program that has not started yet reads the changed settings anyway. */
    private static void reload(HostService service) {
        if (service != null) {
            service.reload();
        }
    }

    private static HostService service(Settings settings, AtomicReference<HostService> running) {
        HostOptions options = HostOptions.of(settings);
        EventLog log = new EventLog(options.host().id(), new FileOutputStream(FileDescriptor.out));
        EventLoggerFinder.setTarget(log);
        HostService service = new HostService(options, log, new SettingsFile(settings.path(), settings.source(), log));
        running.set(service);
        return service;
    }
}
