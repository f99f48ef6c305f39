package io.carawaylift.control;

import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.model.RecordNames;
import io.carawaylift.peer.ByteCounts;
import io.carawaylift.platform.CallCounts;
import io.carawaylift.platform.CallKind;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Registers the metrics of a control program. */
final class ControlMetrics {
    private final AtomicLong tableVersion = new AtomicLong();
    private final Timer tablePush;
    private long tableReadNanos;

    ControlMetrics(MeterRegistry registry, CallCounts calls, ByteCounts bytes) {
        for (CallKind kind : CallKind.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT);
            FunctionCounter.builder("carawaylift.platform.calls", calls, counts -> counts.started(kind))
                    .tag("kind", name)
                    .register(registry);
            FunctionCounter.builder("carawaylift.platform.calls.failed", calls, counts -> counts.failed(kind))
                    .tag("kind", name)
                    .register(registry);
        }
        FunctionCounter.builder("carawaylift.peer.bytes", bytes, ByteCounts::sent)
                .tag("direction", "sent")
                .register(registry);
        FunctionCounter.builder("carawaylift.peer.bytes", bytes, ByteCounts::received)
                .tag("direction", "received")
                .register(registry);
        Gauge.builder("carawaylift.table.version", tableVersion, AtomicLong::get)
                .register(registry);
        tablePush = Timer.builder("carawaylift.table.push")
                .description("time from reading a new table to having handed it to all connections")
                .register(registry);
    }

    /** Returns the listener that must be called before all listeners that push records. */
    Records.Listener beforePush() {
        return new Records.Listener() {
            @Override
            public void recordChanged(String name, Optional<ReplicaStore.Entry> before) {
                if (name.equals(RecordNames.TABLE)) {
                    tableReadNanos = System.nanoTime();
                }
            }
        };
    }

    /** Returns the listener that must be called after all listeners that push records. */
    Records.Listener afterPush(Records records) {
        return new Records.Listener() {
            @Override
            public void recordChanged(String name, Optional<ReplicaStore.Entry> before) {
                if (name.equals(RecordNames.TABLE)) {
                    tablePush.record(System.nanoTime() - tableReadNanos, TimeUnit.NANOSECONDS);
                    records.table().ifPresent(table -> tableVersion.set(table.version()));
                }
            }
        };
    }
}
