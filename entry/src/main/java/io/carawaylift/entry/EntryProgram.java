package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.peer.ControlLink;
import io.carawaylift.peer.ControlLinks;
import io.carawaylift.runtime.Program;
import io.carawaylift.runtime.Service;
import io.carawaylift.runtime.Settings;

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
        return new EntryService(entry, self, identity -> link(entry, identity));
    }

    private static ControlLink link(EntrySettings settings, ControlLink.Identity identity) {
        return ControlLinks.builder()
                .address(settings.host().address() + ":" + settings.controlPort())
                .identity(identity)
                .build();
    }
}
