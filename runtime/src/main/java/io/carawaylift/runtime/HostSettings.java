package io.carawaylift.runtime;

import java.util.List;

/**
 * Section {@code [host]} of the settings, which the three programs of an entry host share.
 *
 * @param id unique name of the host
 * @param site group of hosts to which client addresses are mapped; the failure domain by default
 * @param address IP address that the programs bind and announce
 */
public record HostSettings(String id, String region, String failureDomain, String site, String address) {
    private static final List<String> KEYS = List.of("id", "region", "failure_domain", "site", "address");

    /**
     * Reads the section.
     *
     * @throws SettingsException if a value is missing or invalid, or a key is unknown
     */
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
