package io.carawaylift.model;

import java.util.List;
import java.util.Optional;

/**
 * Members and endpoint owners of one failure domain, record {@link RecordNames#owners}. Changes seldom and is copied to
 * every process.
 *
 * @param members entry processes in the failure domain that are not confirmed gone
 * @param endpoints one entry per endpoint of the failure domain that has or had an owner
 */
public record OwnersRecord(String failureDomain, String region, List<Member> members, List<Ownership> endpoints) {
    public OwnersRecord {
        members = List.copyOf(members);
        endpoints = List.copyOf(endpoints);
    }

    /** Returns the entry of an endpoint. */
    public Optional<Ownership> ownership(String endpoint) {
        return endpoints.stream()
                .filter(ownership -> ownership.endpoint().equals(endpoint))
                .findFirst();
    }
}
