package io.carawaylift.model;

/**
 * An entry process with its addresses and state.
 *
 * @param site group of hosts to which blocks of client addresses are mapped
 * @param entryUrl base URL of the entry program, for callers and other entry processes
 * @param lookupUrl base URL of the lookup program
 * @param adminUrl base URL of the entry program's admin server
 * @param controlAddress {@code host:port} on which the control program listens for other control programs
 */
public record Member(
        EntryProcess process,
        String region,
        String failureDomain,
        String site,
        String entryUrl,
        String lookupUrl,
        String adminUrl,
        String controlAddress,
        MemberState state) {
    /** Returns this member in another state. */
    public Member withState(MemberState newState) {
        return new Member(
                process, region, failureDomain, site, entryUrl, lookupUrl, adminUrl, controlAddress, newState);
    }
}
