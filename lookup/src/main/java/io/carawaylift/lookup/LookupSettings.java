package io.carawaylift.lookup;

import io.carawaylift.runtime.HostSettings;
import io.carawaylift.runtime.Settings;
import java.util.List;

/**
 * Settings of the lookup program.
 *
 * @param controlPort port of the control program of the same host
 * @param port port for lookups of callers
 * @param adminPort port of the admin server
 */
record LookupSettings(HostSettings host, int controlPort, int port, int adminPort) {
    private static final List<String> KEYS = List.of("port", "admin_port");

    static LookupSettings of(Settings settings) {
        settings.rejectUnknownKeys("lookup", KEYS);
        return new LookupSettings(
                HostSettings.of(settings),
                settings.port("control.port"),
                settings.port("lookup.port"),
                settings.port("lookup.admin_port"));
    }
}
