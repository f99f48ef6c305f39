package io.carawaylift.model;

import java.util.List;

/**
 * Newest heartbeats of the members of one failure domain, record {@link RecordNames#domain}. Written once a second.
 *
 * @param reporter host that wrote the record
 * @param ended entry processes whose process id is gone on their own host, as its control program reported
 */
public record DomainRecord(
        String failureDomain, String reporter, List<MemberReport> members, List<EntryProcess> ended) {
    public DomainRecord {
        members = List.copyOf(members);
        ended = List.copyOf(ended);
    }
}
