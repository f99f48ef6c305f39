package io.carawaylift.model;

import java.util.List;

/**
 * Report of one member in a {@link DomainRecord}.
 *
 * @param heartbeat number of the newest heartbeat received from the member's entry process
 * @param tableVersion table version in force at the member's entry process, 0 if it has none
 * @param released endpoints at which the member has stopped dispatching and has nothing in flight, each with the epoch
 *     of the ownership that it released
 * @param measures load of the upstreams as measured by the member's entry process
 */
public record MemberReport(
        Member member, long heartbeat, long tableVersion, List<Release> released, List<UpstreamMeasure> measures) {
    public MemberReport {
        released = List.copyOf(released);
        measures = List.copyOf(measures);
    }
}
