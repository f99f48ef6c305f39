package io.carawaylift.model;

import java.util.List;

/**
 * Newest heartbeats of the members of one failure domain, stored as {@link RecordNames#domain}. Written once a second.
 *
 * @param reporter id of the host that wrote the record
 * @param ended terminated entry processes: the control program of their host reported that the process id no longer
 *     exists
 */
public record DomainRecord(
        String failureDomain, String reporter, List<MemberReport> members, List<EntryProcess> ended) {
    public DomainRecord {
        members = List.copyOf(members);
        ended = List.copyOf(ended);
    }
}
