package io.carawaylift.model;

import java.util.List;

/**
 * The platform's list of the endpoints and hosts in one failure domain, stored as {@link RecordNames#hosts}. The list
 * lags behind the actual state.
 *
 * @param endpoints endpoints of all upstreams in the failure domain
 * @param entryHosts ids of the entry hosts known to the platform
 */
public record EndpointList(String failureDomain, String region, List<Endpoint> endpoints, List<String> entryHosts) {
    public EndpointList {
        endpoints = List.copyOf(endpoints);
        entryHosts = List.copyOf(entryHosts);
    }
}
