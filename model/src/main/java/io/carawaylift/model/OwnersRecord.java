package io.carawaylift.model;

import java.util.List;
import java.util.Optional;

/**
 * Members and endpoint owners of one failure domain, stored as {@link RecordNames#owners}. Changes rarely and is
 * replicated to every process.
 *
 * @param members entry processes in the failure domain that are not confirmed to have terminated
 * @param endpoints one entry for each endpoint in the failure domain that has or had an owner
 */
public record OwnersRecord(String failureDomain, String region, List<Member> members, List<Ownership> endpoints) {
    public OwnersRecord {
        members = List.copyOf(members);
        endpoints = List.copyOf(endpoints);
    }

    /** Returns the ownership of an endpoint, or empty if it never had an owner. */
    public Optional<Ownership> ownership(String endpoint) {
        return endpoints.stream()
                .filter(ownership -> ownership.endpoint().equals(endpoint))
                .findFirst();
    }
}
