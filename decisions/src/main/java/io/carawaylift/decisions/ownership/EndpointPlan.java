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

/** Plans the next entry of each endpoint of one failure domain. Used once. */
final class EndpointPlan {
    /** A transfer interrupts an endpoint until its work has finished, so only a few run at a time. */
    private static final int MAX_TRANSFERS_FOR_BALANCE = 4;

    private final PlanView view;
    private final long newEpoch;
    private final Predicate<Ownership> settled;
    private final EndpointLoads loads;
    private final SuccessorChoice successors;

    /**
     * Creates a plan.
     *
     * @param newEpoch epoch of entries with a new owner: above that of every entry that the record ever had
     * @param settled whether an entry of mode HALF may become FULL as far as forgotten owners are concerned
     */
    EndpointPlan(PlanView view, long newEpoch, Predicate<Ownership> settled) {
        this.view = view;
        this.newEpoch = newEpoch;
        this.settled = settled;
        this.loads = new EndpointLoads(view.candidates());
        this.successors = new SuccessorChoice(view.live());
    }

    /** Returns the entries to write. */
    List<Ownership> endpoints(List<Ownership> before) {
        for (Ownership entry : before) {
            loads.add(heir(entry), view.upstream(entry.endpoint()), 1);
            successors.count(entry.successor());
        }
        List<Ownership> planned = new ArrayList<>();
        for (Ownership entry : before) {
            planned(entry).ifPresent(planned::add);
        }
        addFirstOwners(before, planned);
        balance(planned);
        return planned;
    }

    private static EntryProcess heir(Ownership entry) {
        return entry.next() == null ? entry.owner() : entry.next();
    }

    private Optional<Ownership> planned(Ownership known) {
        Ownership entry = promoted(known);
        boolean listed = view.listed(entry.endpoint()).isPresent();
        if (view.isGone(entry.owner())) {
            return Optional.of(withSuccessor(replaced(entry)));
        }
        if (entry.next() != null && view.hasReleased(entry.owner(), entry)) {
            boolean unused = !listed && entry.mode() == OwnershipMode.FULL;
            return unused ? Optional.empty() : Optional.of(withSuccessor(transferred(entry)));
        }
        return Optional.of(withSuccessor(withRequest(entry, listed)));
    }

    private Ownership promoted(Ownership entry) {
        if (entry.mode() != OwnershipMode.HALF || !settled.test(entry)) {
            return entry;
        }
        boolean over = view.isGone(entry.previous()) || view.hasReleased(entry.previous(), entry);
        return over
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

    private Ownership replaced(Ownership entry) {
        return chosen(entry).map(owner -> owned(entry, owner, true)).orElse(entry);
    }

    private Ownership transferred(Ownership entry) {
        EntryProcess owner =
                loads.isCandidate(entry.next()) ? entry.next() : chosen(entry).orElse(entry.owner());
        return owned(entry, owner, false);
    }

    private Optional<EntryProcess> chosen(Ownership entry) {
        List<EntryProcess> excluded = new ArrayList<>();
        if (entry.previous() != null) {
            excluded.add(entry.previous());
        }
        String upstream = view.upstream(entry.endpoint());
        Optional<EntryProcess> owner = loads.least(upstream, excluded);
        owner.ifPresent(process -> {
            loads.add(heir(entry), upstream, -1);
            loads.add(process, upstream, 1);
        });
        return owner;
    }

    /** Sets, keeps or redirects the request to the owner to release the endpoint; it is never withdrawn. */
    private Ownership withRequest(Ownership entry, boolean listed) {
        boolean ownerLeaves = view.isLeaving(entry.owner());
        boolean targetLost = entry.next() != null && !loads.isCandidate(entry.next());
        if (entry.next() == null && !listed && entry.mode() == OwnershipMode.FULL) {
            return requested(entry, entry.owner());
        }
        if (targetLost || (entry.next() == null && ownerLeaves)) {
            EntryProcess fallback = entry.next() == null ? null : entry.owner();
            return requested(entry, chosen(entry).orElse(fallback));
        }
        return entry;
    }

    private Ownership withSuccessor(Ownership entry) {
        String successor = entry.successor();
        if (successor != null && !successor.equals(entry.owner().host()) && !view.isHostGone(successor)) {
            return entry;
        }
        List<String> excluded = new ArrayList<>(List.of(entry.owner().host()));
        if (entry.previous() != null) {
            excluded.add(entry.previous().host());
        }
        String chosen = successors.choose(view.domainOf(entry.owner()), excluded);
        return new Ownership(
                entry.endpoint(),
                entry.owner(),
                chosen,
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
                loads.least(endpoint.upstream(), List.of()).ifPresent(owner -> {
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
            if (!moveHome(planned) && !moveFromMost(planned)) {
                return;
            }
        }
    }

    /** Moves one endpoint from an owner that is no candidate, but still serves, to one that is. */
    private boolean moveHome(List<Ownership> planned) {
        for (int i = 0; i < planned.size(); i++) {
            Ownership entry = planned.get(i);
            if (isMovable(entry) && !loads.isCandidate(entry.owner()) && isLive(entry.owner())) {
                Optional<EntryProcess> target = chosen(entry);
                if (target.isPresent()) {
                    planned.set(i, requested(entry, target.get()));
                    return true;
                }
            }
        }
        return false;
    }

    private boolean moveFromMost(List<Ownership> planned) {
        Optional<EntryProcess> most = loads.most();
        Optional<EntryProcess> least = loads.least("", List.of());
        if (most.isEmpty() || loads.total(most.get()) - loads.total(least.get()) < 2) {
            return false;
        }
        Optional<Ownership> moved = planned.stream()
                .filter(entry -> isMovable(entry) && entry.owner().equals(most.get()))
                .max(Comparator.comparingInt(entry -> surplus(entry, most.get(), least.get())));
        moved.ifPresent(entry -> {
            String upstream = view.upstream(entry.endpoint());
            loads.add(most.get(), upstream, -1);
            loads.add(least.get(), upstream, 1);
            planned.set(planned.indexOf(entry), requested(entry, least.get()));
        });
        return moved.isPresent();
    }

    private int surplus(Ownership entry, EntryProcess most, EntryProcess least) {
        String upstream = view.upstream(entry.endpoint());
        return loads.ofUpstream(most, upstream) - loads.ofUpstream(least, upstream);
    }

    private boolean isMovable(Ownership entry) {
        return entry.next() == null
                && entry.mode() == OwnershipMode.FULL
                && view.listed(entry.endpoint()).isPresent();
    }

    private boolean isLive(EntryProcess process) {
        return view.live().stream().anyMatch(member -> member.process().equals(process));
    }

    private static Ownership requested(Ownership entry, EntryProcess next) {
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

    private Ownership owned(Ownership entry, EntryProcess owner, boolean takenOver) {
        return new Ownership(
                entry.endpoint(), owner, entry.successor(), newEpoch, entry.mode(), takenOver, entry.previous(), null);
    }
}
