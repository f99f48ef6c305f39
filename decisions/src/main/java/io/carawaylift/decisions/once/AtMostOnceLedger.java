package io.carawaylift.decisions.once;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Ticket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Ledger of the at-most-once requests of one entry process. It issues tickets and allows one run per ticket; another run is
 * allowed only if the previous one ended as not run. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @param <W> type of a waiter for a result, compared by {@code equals}
 * @param <R> type of a response
 */
public final class AtMostOnceLedger<W, R> {
    /** Maximum size of a response that is stored for replay. */
    public static final long MAX_STORED_RESPONSE_BYTES = 64 * 1024;

    /** Maximum age of a ticket in windows of one minute; an older ticket has expired unless its entry is still pending. */
    public static final long MAX_TICKET_AGE_WINDOWS = 10;

    private static final long WINDOW_NANOS = 60_000_000_000L;

    private final EntryProcess self;
    private final int capacity;
    private final long maxStoredBytes;
    private final long startNanos;
    private final Map<Ticket, LedgerEntry<W, R>> entries = new HashMap<>();
    private final TreeMap<Long, Set<Ticket>> byWindow = new TreeMap<>();
    private final Set<Ticket> notRun = new LinkedHashSet<>();
    private final Deque<Ticket> withResponse = new ArrayDeque<>();
    private long storedBytes;
    private long window;

    private AtMostOnceLedger(Builder<W, R> builder) {
        self = Objects.requireNonNull(builder.self, "self");
        capacity = builder.capacity;
        maxStoredBytes = builder.maxStoredBytes;
        startNanos = builder.startNanos;
    }

    /** Returns a builder of an empty ledger. */
    public static <W, R> Builder<W, R> builder() {
        return new Builder<>();
    }

    /** Issues one ticket of the current window per nonce; each nonce must be random and unique. */
    public List<Ticket> issue(List<String> nonces, long nowNanos) {
        advance(nowNanos);
        return nonces.stream().map(nonce -> new Ticket(self, window, nonce)).toList();
    }

    /**
     * Decides what to do with an attempt. After {@link AttemptDecision.Step#RUN} exactly one of {@link #notRun}, {@link #answered} and
     * {@link #unknown} must follow; that call returns {@code waiter} and all waiters that joined.
     *
     * @throws IllegalArgumentException if another process issued the ticket
     */
    public AttemptDecision<R> attempt(Ticket ticket, W waiter, long nowNanos) {
        checkIssuer(ticket);
        advance(nowNanos);
        LedgerEntry<W, R> entry = entries.get(ticket);
        if (entry == null) {
            return firstAttempt(ticket, waiter);
        }
        if (entry.isPending()) {
            entry.join(waiter);
            return AttemptDecision.joined();
        }
        if (!entry.isNotRun()) {
            return entry.result();
        }
        notRun.remove(ticket);
        entry.restart();
        entry.join(waiter);
        return AttemptDecision.run();
    }

    /** Records that the request did not run and returns the waiters. A later attempt may run it. */
    public List<W> notRun(Ticket ticket) {
        List<W> waiters = pending(ticket).notRun();
        notRun.add(ticket);
        return waiters;
    }

    /** Records the response and returns the waiters. A response above {@link #MAX_STORED_RESPONSE_BYTES} is not stored. */
    public List<W> answered(Ticket ticket, R response, long bytes) {
        LedgerEntry<W, R> entry = pending(ticket);
        if (bytes <= MAX_STORED_RESPONSE_BYTES && bytes <= maxStoredBytes) {
            entry.storeResponse(response, bytes);
            withResponse.add(ticket);
            storedBytes += bytes;
            dropOldestResponses();
        }
        return entry.answered();
    }

    /** Records that the request ran and had a response, without storing the response; returns the waiters. */
    public List<W> answeredWithoutStoring(Ticket ticket) {
        return pending(ticket).answered();
    }

    /**
     * Records that the request may have run and returns the waiters. The ticket never runs again.
     *
     * @throws IllegalArgumentException if the outcome of {@code code} is not {@link Outcome#UNKNOWN}
     */
    public List<W> unknown(Ticket ticket, ResultCode code) {
        if (code.outcome() != Outcome.UNKNOWN) {
            throw new IllegalArgumentException("code " + code + " must have the outcome UNKNOWN");
        }
        return pending(ticket).unknown(code);
    }

    /** Removes a waiter of a pending ticket; returns whether the ticket is pending and has no waiters left. */
    public boolean removeWaiter(Ticket ticket, W waiter) {
        LedgerEntry<W, R> entry = entries.get(ticket);
        return entry != null && entry.isPending() && entry.removeWaiter(waiter);
    }

    /** Returns the number of tickets in the ledger. */
    public int size() {
        return entries.size();
    }

    /** Returns the number of the current window. */
    public long window(long nowNanos) {
        advance(nowNanos);
        return window;
    }

    private AttemptDecision<R> firstAttempt(Ticket ticket, W waiter) {
        if (ticket.window() > window || ticket.window() < 0) {
            return AttemptDecision.finished(ResultCode.BAD_REQUEST);
        }
        if (isExpired(ticket.window())) {
            return AttemptDecision.finished(ResultCode.TICKET_EXPIRED);
        }
        if (entries.size() >= capacity && !evictNotRun()) {
            return AttemptDecision.finished(ResultCode.LEDGER_FULL);
        }
        LedgerEntry<W, R> entry = new LedgerEntry<>();
        entry.join(waiter);
        entries.put(ticket, entry);
        byWindow.computeIfAbsent(ticket.window(), number -> new HashSet<>()).add(ticket);
        return AttemptDecision.run();
    }

    /** Evicts the oldest ticket that did not run, which is equivalent to a ticket that was never used; returns false if none. */
    private boolean evictNotRun() {
        if (notRun.isEmpty()) {
            return false;
        }
        Ticket oldest = notRun.iterator().next();
        Set<Ticket> tickets = byWindow.get(oldest.window());
        tickets.remove(oldest);
        if (tickets.isEmpty()) {
            byWindow.remove(oldest.window());
        }
        removeEntry(oldest);
        return true;
    }

    private void advance(long nowNanos) {
        long current = (nowNanos - startNanos) / WINDOW_NANOS;
        if (current > window) {
            window = current;
        }
        while (!byWindow.isEmpty() && isExpired(byWindow.firstKey())) {
            if (!expire(byWindow.firstKey())) {
                return;
            }
        }
    }

    /** Removes the finished tickets of a window; returns whether the window is empty. Pending tickets stay until they finish. */
    private boolean expire(long number) {
        Set<Ticket> tickets = byWindow.get(number);
        for (Ticket ticket : List.copyOf(tickets)) {
            if (!entries.get(ticket).isPending()) {
                tickets.remove(ticket);
                removeEntry(ticket);
            }
        }
        if (tickets.isEmpty()) {
            byWindow.remove(number);
            return true;
        }
        return false;
    }

    private void removeEntry(Ticket ticket) {
        LedgerEntry<W, R> entry = entries.remove(ticket);
        storedBytes -= entry.dropResponse();
        notRun.remove(ticket);
    }

    private void dropOldestResponses() {
        while (storedBytes > maxStoredBytes || withResponse.size() > capacity) {
            LedgerEntry<W, R> entry = entries.get(withResponse.remove());
            if (entry != null) {
                storedBytes -= entry.dropResponse();
            }
        }
    }

    private boolean isExpired(long number) {
        return window - number > MAX_TICKET_AGE_WINDOWS;
    }

    private LedgerEntry<W, R> pending(Ticket ticket) {
        LedgerEntry<W, R> entry = entries.get(ticket);
        if (entry == null || !entry.isPending()) {
            throw new IllegalStateException("ticket " + ticket + " is not pending");
        }
        return entry;
    }

    private void checkIssuer(Ticket ticket) {
        if (!ticket.process().equals(self)) {
            throw new IllegalArgumentException("ticket " + ticket + " was not issued by " + self);
        }
    }

    /** Builds an {@link AtMostOnceLedger}. */
    public static final class Builder<W, R> {
        private static final int DEFAULT_CAPACITY = 100_000;
        private static final long DEFAULT_MAX_STORED_BYTES = 64L * 1024 * 1024;

        private EntryProcess self;
        private int capacity = DEFAULT_CAPACITY;
        private long maxStoredBytes = DEFAULT_MAX_STORED_BYTES;
        private long startNanos;

        private Builder() {}

        /** Sets the process that issues the tickets; required. */
        public Builder<W, R> self(EntryProcess process) {
            this.self = process;
            return this;
        }

        /** Sets the maximum number of tickets in the ledger; 100,000 by default. */
        public Builder<W, R> capacity(int tickets) {
            this.capacity = tickets;
            return this;
        }

        /** Sets the maximum total size of stored responses, 64 MiB by default; the oldest ones are dropped first. */
        public Builder<W, R> maxStoredBytes(long bytes) {
            this.maxStoredBytes = bytes;
            return this;
        }

        /** Sets the monotonic time at which window 0 starts; 0 by default. */
        public Builder<W, R> startNanos(long nanos) {
            this.startNanos = nanos;
            return this;
        }

        /** Returns the ledger. */
        public AtMostOnceLedger<W, R> build() {
            return new AtMostOnceLedger<>(this);
        }
    }
}
