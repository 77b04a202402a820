package dev.wigeonward.agent;

import java.security.SecureRandom;
import java.time.Clock;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.agent.control.FencingNumberReader;
import dev.wigeonward.common.ring.DaemonSchedulers;
import dev.wigeonward.common.store.ControllerLease;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.StoreOptions;

/** Reads the fencing number from the store, where it is the creation revision of the controller key. */
final class StoreFencingNumber implements FencingNumberReader, AutoCloseable {
    private final ScheduledExecutorService thread = DaemonSchedulers.newSingleThreadScheduler("store");
    private final Optional<KeyValueStore> store;

    StoreFencingNumber(Optional<StoreOptions> options, Clock clock) {
        this.store =
                options.map(given -> EtcdStore.connect(given, clock, thread, new MetricRegistry(), new SecureRandom()));
    }

    @Override
    public void read(Consumer<OptionalLong> answer) {
        if (store.isEmpty()) {
            // Without a store no fencing number can be confirmed, so orders are refused.
            answer.accept(OptionalLong.empty());
            return;
        }
        store.get()
                .get(ControllerLease.KEY)
                .thenAccept(result -> answer.accept(result.toOptional()
                        .map(entry -> OptionalLong.of(
                                entry.map(KeyValue::createRevision).orElse(0L)))
                        .orElse(OptionalLong.empty())));
    }

    @Override
    public void close() {
        store.ifPresent(KeyValueStore::close);
        thread.shutdown();
    }
}
