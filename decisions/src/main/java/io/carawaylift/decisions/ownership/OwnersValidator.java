package io.carawaylift.decisions.ownership;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.ResultCode;
import java.util.HashMap;
import java.util.Map;

/** Validates a record {@code owners/} against the one that it replaces before it is written. */
final class OwnersValidator {
    private OwnersValidator() {}

    /**
     * Throws a CarawayliftException with INVARIANT_VIOLATED if the update violates a rule.
     *
     * @param before null if there is no record yet
     */
    static void validate(OwnersRecord before, OwnersRecord after) {
        Map<String, Ownership> known = new HashMap<>();
        if (before != null) {
            before.endpoints().forEach(entry -> known.put(entry.endpoint(), entry));
        }
        Map<String, Ownership> seen = new HashMap<>();
        for (Ownership entry : after.endpoints()) {
            require(seen.put(entry.endpoint(), entry) == null, "endpoint named twice", entry);
            validateEntry(entry);
            if (known.containsKey(entry.endpoint())) {
                validateChange(known.get(entry.endpoint()), entry);
            }
        }
    }

    private static void validateEntry(Ownership entry) {
        require(!entry.owner().host().equals(entry.successor()), "successor is the host of the owner", entry);
        require(
                (entry.mode() == OwnershipMode.HALF) == (entry.previous() != null),
                "mode must be HALF exactly if there is a previous owner",
                entry);
        require(!entry.owner().equals(entry.previous()), "previous owner equals the owner", entry);
    }

    private static void validateChange(Ownership from, Ownership to) {
        EntryProcess owner = to.owner();
        require(to.epoch() >= from.epoch(), "epoch decreased", to);
        require(owner.equals(from.owner()) || to.epoch() > from.epoch(), "owner changed within an epoch", to);
        boolean sameEpoch = to.epoch() == from.epoch();
        require(
                !sameEpoch || from.next() == null || to.next() != null,
                "release request withdrawn within an epoch",
                to);
        require(
                !sameEpoch || from.mode() == to.mode() || to.mode() == OwnershipMode.FULL,
                "mode reduced within an epoch",
                to);
    }

    private static void require(boolean condition, String problem, Ownership entry) {
        if (!condition) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, problem + ": " + entry);
        }
    }
}
