package io.carawaylift.runtime;

import java.util.List;

/**
 * Section {@code [host]} of the settings, shared by the three programs of an entry host.
 *
 * @param id unique name of the host
 * @param address IP address that the programs bind to and announce
 * @param site group of hosts to which client addresses are mapped; the failure domain if not set
 */
public record HostSettings(String id, String region, String failureDomain, String site, String address) {
    private static final List<String> KEYS = List.of("id", "region", "failure_domain", "site", "address");

    /** Reads and checks the section. */
    public static HostSettings of(Settings settings) {
        settings.rejectUnknownKeys("host", KEYS);
        String failureDomain = settings.name("host.failure_domain");
        return new HostSettings(
                settings.name("host.id"),
                settings.name("host.region"),
                failureDomain,
                settings.name("host.site", failureDomain),
                settings.text("host.address"));
    }
}
