package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.peer.ControlLink;
import io.carawaylift.peer.ControlLinks;
import io.carawaylift.runtime.Program;
import io.carawaylift.runtime.Service;
import io.carawaylift.runtime.Settings;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Main class of {@code carawaylift-entry}. */
public final class EntryProgram {
    private EntryProgram() {}

    /** Runs the program with one argument, the settings file. */
    public static void main(String[] args) {
        new Program("carawaylift-entry", EntryProgram::create).run(args);
    }

    private static Service create(Settings settings) {
        EntrySettings entry = EntrySettings.of(settings);
        EntryProcess self = new EntryProcess(entry.host().id(), System.currentTimeMillis());
        return new ExitingService(new EntryService(entry, self, identity -> link(entry, identity)));
    }

    private static ControlLink link(EntrySettings settings, ControlLink.Identity identity) {
        return ControlLinks.builder()
                .address(settings.host().address() + ":" + settings.controlPort())
                .identity(identity)
                .build();
    }

    /**
     * Ends the process with status 0 after a graceful stop. The Java virtual machine otherwise ends with 143 after SIGTERM,
     * which a supervisor cannot tell from a stop that was cut short.
     */
    private static final class ExitingService implements Service {
        private static final Logger LOG = System.getLogger("carawaylift-entry");

        private final EntryService service;

        ExitingService(EntryService service) {
            this.service = service;
        }

        @Override
        public void start() {
            service.start();
        }

        @Override
        public void stop() {
            service.stop();
            LOG.log(Level.INFO, "graceful stop is complete");
            Runtime.getRuntime().halt(0);
        }
    }
}
