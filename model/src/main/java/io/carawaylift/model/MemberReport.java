package io.carawaylift.model;

import java.util.List;

/**
 * One member's line in the record {@link RecordNames#domain}.
 *
 * @param heartbeat number of the newest heartbeat received from the member's entry process
 * @param tableVersion table version in force at the member's entry process, 0 if none
 * @param released endpoints whose dispatch the member stopped and finished, each with the epoch it stopped at
 */
public record MemberReport(
        Member member, long heartbeat, long tableVersion, List<Release> released, List<UpstreamMeasure> measures) {
    public MemberReport {
        released = List.copyOf(released);
        measures = List.copyOf(measures);
    }
}
