package io.carawaylift.model;

import java.util.List;

/**
 * The platform's lagging list of one failure domain, record {@link RecordNames#hosts}.
 *
 * @param endpoints upstream endpoints in the failure domain
 * @param entryHosts ids of the entry hosts that the platform believes to exist
 */
public record EndpointList(String failureDomain, String region, List<Endpoint> endpoints, List<String> entryHosts) {
    public EndpointList {
        endpoints = List.copyOf(endpoints);
        entryHosts = List.copyOf(entryHosts);
    }
}
