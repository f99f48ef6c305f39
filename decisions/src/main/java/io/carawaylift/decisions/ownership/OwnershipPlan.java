package io.carawaylift.decisions.ownership;

import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Plans the next entry of each endpoint of one failure domain. Each instance is used for one plan. */
final class OwnershipPlan {
    /** A transfer interrupts an endpoint until its requests in flight have finished, so only a few run at a time. */
    private static final int MAX_TRANSFERS_FOR_BALANCE = 4;

    private final PlanView view;
    private final long newEpoch;
    private final Predicate<Ownership> mayBecomeFull;
    private final EndpointLoads loads;
    private final SuccessorSelector successors;

    /**
     * Creates a plan.
     *
     * @param newEpoch epoch of entries with a new owner: above that of every entry that the record ever had
     * @param mayBecomeFull whether owners that an entry of mode HALF no longer names can have no request in flight any
     *     more
     */
    OwnershipPlan(PlanView view, long newEpoch, Predicate<Ownership> mayBecomeFull) {
        this.view = view;
        this.newEpoch = newEpoch;
        this.mayBecomeFull = mayBecomeFull;
        this.loads = new EndpointLoads(view.candidates());
        this.successors = new SuccessorSelector(view.live());
    }

    /** Returns the entries to write. */
    List<Ownership> endpoints(List<Ownership> before) {
        for (Ownership entry : before) {
            loads.add(futureOwner(entry), view.upstream(entry.endpoint()), 1);
            successors.countRole(entry.successor());
        }
        List<Ownership> planned = new ArrayList<>();
        for (Ownership entry : before) {
            planEntry(entry).ifPresent(planned::add);
        }
        addFirstOwners(before, planned);
        balance(planned);
        return planned;
    }

    private static EntryProcess futureOwner(Ownership entry) {
        return entry.next() == null ? entry.owner() : entry.next();
    }

    private Optional<Ownership> planEntry(Ownership known) {
        Ownership entry = promotedToFull(known);
        boolean listed = view.listed(entry.endpoint()).isPresent();
        if (view.isTerminated(entry.owner())) {
            return Optional.of(withSuccessor(withReplacedOwner(entry)));
        }
        if (entry.next() != null && view.hasReleased(entry.owner(), entry)) {
            boolean unused = !listed && entry.mode() == OwnershipMode.FULL;
            return unused ? Optional.empty() : Optional.of(withSuccessor(withTransferredOwner(entry)));
        }
        return Optional.of(withSuccessor(withReleaseRequest(entry, listed)));
    }

    private Ownership promotedToFull(Ownership entry) {
        if (entry.mode() != OwnershipMode.HALF || !mayBecomeFull.test(entry)) {
            return entry;
        }
        boolean previousStopped = view.isTerminated(entry.previous()) || view.hasReleased(entry.previous(), entry);
        return previousStopped
                ? new Ownership(
                        entry.endpoint(),
                        entry.owner(),
                        entry.successor(),
                        entry.epoch(),
                        OwnershipMode.FULL,
                        entry.takenOver(),
                        null,
                        entry.next())
                : entry;
    }

    private Ownership withReplacedOwner(Ownership entry) {
        return chooseOwner(entry).map(owner -> withOwner(entry, owner, true)).orElse(entry);
    }

    private Ownership withTransferredOwner(Ownership entry) {
        EntryProcess owner = loads.isCandidate(entry.next())
                ? entry.next()
                : chooseOwner(entry).orElse(entry.owner());
        return withOwner(entry, owner, false);
    }

    private Optional<EntryProcess> chooseOwner(Ownership entry) {
        List<EntryProcess> excluded = new ArrayList<>();
        if (entry.previous() != null) {
            excluded.add(entry.previous());
        }
        String upstream = view.upstream(entry.endpoint());
        Optional<EntryProcess> owner = loads.leastLoaded(upstream, excluded);
        owner.ifPresent(process -> {
            loads.add(futureOwner(entry), upstream, -1);
            loads.add(process, upstream, 1);
        });
        return owner;
    }

    /** Sets, keeps or redirects the request to the owner to release the endpoint; it is never withdrawn. */
    private Ownership withReleaseRequest(Ownership entry, boolean listed) {
        boolean ownerDraining = view.isDraining(entry.owner());
        boolean targetLost = entry.next() != null && !loads.isCandidate(entry.next());
        if (entry.next() == null && !listed && entry.mode() == OwnershipMode.FULL) {
            return withNextOwner(entry, entry.owner());
        }
        if (targetLost || (entry.next() == null && ownerDraining)) {
            EntryProcess fallback = entry.next() == null ? null : entry.owner();
            return withNextOwner(entry, chooseOwner(entry).orElse(fallback));
        }
        return entry;
    }

    private Ownership withSuccessor(Ownership entry) {
        String successor = entry.successor();
        if (successor != null && !successor.equals(entry.owner().host()) && !view.isHostRemoved(successor)) {
            return entry;
        }
        List<String> excluded = new ArrayList<>(List.of(entry.owner().host()));
        if (entry.previous() != null) {
            excluded.add(entry.previous().host());
        }
        String successorHost = successors.choose(view.domainOf(entry.owner()), excluded);
        return new Ownership(
                entry.endpoint(),
                entry.owner(),
                successorHost,
                entry.epoch(),
                entry.mode(),
                entry.takenOver(),
                entry.previous(),
                entry.next());
    }

    private void addFirstOwners(List<Ownership> before, List<Ownership> planned) {
        for (Endpoint endpoint : view.endpoints()) {
            boolean known = before.stream().anyMatch(entry -> entry.endpoint().equals(endpoint.id()));
            if (!known && !endpoint.leaving()) {
                loads.leastLoaded(endpoint.upstream(), List.of()).ifPresent(owner -> {
                    loads.add(owner, endpoint.upstream(), 1);
                    planned.add(withSuccessor(new Ownership(
                            endpoint.id(), owner, null, newEpoch, OwnershipMode.FULL, false, null, null)));
                });
            }
        }
    }

    private void balance(List<Ownership> planned) {
        long transfers = planned.stream().filter(entry -> entry.next() != null).count();
        for (long i = transfers; i < MAX_TRANSFERS_FOR_BALANCE; i++) {
            if (!moveToCandidate(planned) && !moveFromMostLoaded(planned)) {
                return;
            }
        }
    }

    /** Moves one endpoint from an owner that is not a candidate, but is live, to one that is a candidate. */
    private boolean moveToCandidate(List<Ownership> planned) {
        for (int i = 0; i < planned.size(); i++) {
            Ownership entry = planned.get(i);
            if (isMovable(entry) && !loads.isCandidate(entry.owner()) && isLive(entry.owner())) {
                Optional<EntryProcess> target = chooseOwner(entry);
                if (target.isPresent()) {
                    planned.set(i, withNextOwner(entry, target.get()));
                    return true;
                }
            }
        }
        return false;
    }

    private boolean moveFromMostLoaded(List<Ownership> planned) {
        Optional<EntryProcess> mostLoaded = loads.mostLoaded();
        Optional<EntryProcess> leastLoaded = loads.leastLoaded("", List.of());
        if (mostLoaded.isEmpty() || loads.total(mostLoaded.get()) - loads.total(leastLoaded.get()) < 2) {
            return false;
        }
        Optional<Ownership> moved = planned.stream()
                .filter(entry -> isMovable(entry) && entry.owner().equals(mostLoaded.get()))
                .max(Comparator.comparingInt(entry -> surplus(entry, mostLoaded.get(), leastLoaded.get())));
        moved.ifPresent(entry -> {
            String upstream = view.upstream(entry.endpoint());
            loads.add(mostLoaded.get(), upstream, -1);
            loads.add(leastLoaded.get(), upstream, 1);
            planned.set(planned.indexOf(entry), withNextOwner(entry, leastLoaded.get()));
        });
        return moved.isPresent();
    }

    private int surplus(Ownership entry, EntryProcess mostLoaded, EntryProcess leastLoaded) {
        String upstream = view.upstream(entry.endpoint());
        return loads.ofUpstream(mostLoaded, upstream) - loads.ofUpstream(leastLoaded, upstream);
    }

    private boolean isMovable(Ownership entry) {
        return entry.next() == null
                && entry.mode() == OwnershipMode.FULL
                && view.listed(entry.endpoint()).isPresent();
    }

    private boolean isLive(EntryProcess process) {
        return view.live().stream().anyMatch(member -> member.process().equals(process));
    }

    private static Ownership withNextOwner(Ownership entry, EntryProcess next) {
        return new Ownership(
                entry.endpoint(),
                entry.owner(),
                entry.successor(),
                entry.epoch(),
                entry.mode(),
                entry.takenOver(),
                entry.previous(),
                next);
    }

    private Ownership withOwner(Ownership entry, EntryProcess owner, boolean takenOver) {
        return new Ownership(
                entry.endpoint(), owner, entry.successor(), newEpoch, entry.mode(), takenOver, entry.previous(), null);
    }
}
