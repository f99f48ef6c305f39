package io.carawaylift.model;

/**
 * Who may use an endpoint's slots.
 *
 * @param endpoint endpoint id
 * @param owner the only entry process that may dispatch to the endpoint
 * @param successor host that may take over without the owner's word, null if there is none
 * @param epoch rises with every change of owner
 * @param mode how many slots the owner may use
 * @param takenOver whether the owner took over without the previous owner's release and therefore must wait
 *     before its first dispatch
 * @param previous earlier owner whose end is not confirmed, null if it released the endpoint or is confirmed gone
 * @param next process to which the owner is asked to release the endpoint, null if none
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
