package io.carawaylift.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps the latest decision records by request id, and logs and meters finished requests. Thread-safe. */
final class DecisionLog {
    private static final Logger LOG = System.getLogger(DecisionLog.class.getName());
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int SHARDS = 16;

    private final EntryMetrics metrics;
    private final long slowNanos;
    private final Shard[] shards = new Shard[SHARDS];

    /** Creates a log that keeps about {@code capacity} records. */
    DecisionLog(int capacity, long slowNanos, EntryMetrics metrics) {
        this.metrics = metrics;
        this.slowNanos = slowNanos;
        for (int index = 0; index < SHARDS; index++) {
            shards[index] = new Shard(Math.max(1, capacity / SHARDS));
        }
    }

    /**
     * Returns the records of a request, oldest first. There can be several, because a process can handle a request both
     * as entry process and as owner.
     */
    List<DecisionRecord> find(String requestId) {
        return shard(requestId).find(requestId);
    }

    void add(DecisionRecord record, ResultCode code, Rank rank, long nanos) {
        shard(record.requestId()).add(record);
        if (record.hop() == 0) {
            metrics.recordRequest(record.service(), rank, record.outcome(), nanos);
        }
        if (code.outcome() != Outcome.ANSWERED || nanos > slowNanos) {
            LOG.log(Level.INFO, () -> json(record));
        }
    }

    private Shard shard(String requestId) {
        return shards[Math.floorMod(requestId.hashCode(), SHARDS)];
    }

    private static String json(DecisionRecord record) {
        try {
            return MAPPER.writeValueAsString(record);
        } catch (JsonProcessingException e) {
            return record.toString();
        }
    }

    /** Partition of the records with its own lock; removes the oldest record beyond its capacity. */
    private static final class Shard {
        private final int capacity;
        private final Deque<DecisionRecord> order = new ArrayDeque<>();
        private final Map<String, List<DecisionRecord>> byId = new HashMap<>();

        Shard(int capacity) {
            this.capacity = capacity;
        }

        synchronized void add(DecisionRecord record) {
            order.add(record);
            byId.computeIfAbsent(record.requestId(), id -> new ArrayList<>(1)).add(record);
            if (order.size() > capacity) {
                remove(order.remove());
            }
        }

        synchronized List<DecisionRecord> find(String requestId) {
            return List.copyOf(byId.getOrDefault(requestId, List.of()));
        }

        private void remove(DecisionRecord oldest) {
            List<DecisionRecord> records = byId.get(oldest.requestId());
            records.remove(0);
            if (records.isEmpty()) {
                byId.remove(oldest.requestId());
            }
        }
    }
}
