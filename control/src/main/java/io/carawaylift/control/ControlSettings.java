package io.carawaylift.control;

import io.carawaylift.runtime.HostSettings;
import io.carawaylift.runtime.Settings;
import java.util.List;

/**
 * Settings of a control program.
 *
 * @param port port for connections of other processes, 0 for any free one
 * @param adminPort port of the admin server
 * @param seeds {@code host:port} of other control programs
 */
record ControlSettings(HostSettings host, String platformUrl, int port, int adminPort, List<String> seeds) {
    private static final List<String> CONTROL_KEYS = List.of("port", "admin_port", "seeds");
    private static final List<String> PLATFORM_KEYS = List.of("url");

    ControlSettings {
        seeds = List.copyOf(seeds);
    }

    /** Reads and validates the sections that a control program uses; ignores others. */
    static ControlSettings of(Settings settings) {
        settings.rejectUnknownKeys("control", CONTROL_KEYS);
        settings.rejectUnknownKeys("platform", PLATFORM_KEYS);
        return new ControlSettings(
                HostSettings.of(settings),
                settings.url("platform.url"),
                settings.port("control.port"),
                settings.port("control.admin_port"),
                settings.addresses("control.seeds"));
    }
}
