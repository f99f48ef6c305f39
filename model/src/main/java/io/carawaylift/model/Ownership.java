package io.carawaylift.model;

/**
 * Assignment of an endpoint's slots to one entry process.
 *
 * @param endpoint endpoint id
 * @param owner the only entry process that may dispatch to the endpoint
 * @param successor id of the host that may take over without a release by the owner, null if there is none
 * @param epoch increased with every change of owner
 * @param mode fraction of the slots that the owner may use
 * @param takenOver whether the owner took over without a release by the previous owner and therefore must wait before
 *     its first dispatch
 * @param previous earlier owner that may still be running, null if it released the endpoint or is confirmed to have
 *     terminated
 * @param next process for which the owner is asked to release the endpoint, null if there is none
 */
public record Ownership(
        String endpoint,
        EntryProcess owner,
        String successor,
        long epoch,
        OwnershipMode mode,
        boolean takenOver,
        EntryProcess previous,
        EntryProcess next) {}
