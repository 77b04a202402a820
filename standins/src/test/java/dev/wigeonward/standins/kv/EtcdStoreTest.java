package dev.wigeonward.standins.kv;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import dev.wigeonward.common.store.Condition;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.KeyChange;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.Page;
import dev.wigeonward.common.store.ReadResult;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.WatchListener;
import dev.wigeonward.common.store.Write;
import dev.wigeonward.common.store.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.standins.Awaiting.await;
import static dev.wigeonward.standins.Awaiting.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;

class EtcdStoreTest {
    private final StoreFixture fixture = new StoreFixture();
    private final EtcdStore store = fixture.store;

    @AfterEach
    void close() {
        fixture.close();
    }

    private static Transaction create(String key, String value) {
        return Transaction.of(Condition.absent(key), new Write.Put(key, value, 0));
    }

    private WriteResult put(String key, String value) {
        return await(store.commit(new Transaction(List.of(), List.of(new Write.Put(key, value, 0)))));
    }

    private String valueOf(String key) {
        return await(store.get(key))
                .toOptional()
                .orElseThrow()
                .map(KeyValue::value)
                .orElse("absent");
    }

    /** Guards against a failed condition that is taken for a success, and against a missing current value. */
    @Test
    void eachCompareDecidesAndReturnsTheCurrentValue() {
        WriteResult created = await(store.commit(create("/a", "1")));
        assertThat(created).isInstanceOf(WriteResult.Applied.class);
        long revision = ((WriteResult.Applied) created).revision();

        WriteResult second = await(store.commit(create("/a", "2")));
        assertThat(second).isInstanceOf(WriteResult.CompareFailed.class);
        assertThat(((WriteResult.CompareFailed) second).current())
                .isEqualTo(Map.of("/a", new KeyValue("/a", "1", revision, revision, 0)));

        Write delete = new Write.Delete("/a");
        assertThat(await(store.commit(Transaction.of(new Condition.Value("/a", "9"), delete))))
                .isInstanceOf(WriteResult.CompareFailed.class);
        assertThat(await(store.commit(Transaction.of(new Condition.ModRevision("/a", revision + 1), delete))))
                .isInstanceOf(WriteResult.CompareFailed.class);
        assertThat(valueOf("/a")).isEqualTo("1");
        assertThat(await(store.commit(new Transaction(
                        List.of(
                                new Condition.Value("/a", "1"),
                                new Condition.ModRevision("/a", revision),
                                new Condition.CreateRevision("/a", revision)),
                        List.of(delete)))))
                .isInstanceOf(WriteResult.Applied.class);
        assertThat(valueOf("/a")).isEqualTo("absent");
    }

    /** Guards against pages that miss or repeat a key, or that leave the prefix. */
    @Test
    void pagesCoverThePrefixOnce() {
        for (String key : List.of("/p/a", "/p/b", "/p/ü", "/q")) {
            put(key, "v");
        }
        Page first = await(store.range("/p/", "", 2)).toOptional().orElseThrow();
        Page second = await(store.range("/p/", "/p/b", 2)).toOptional().orElseThrow();

        assertThat(first.entries()).extracting(KeyValue::key).containsExactly("/p/a", "/p/b");
        assertThat(first.hasMore()).isTrue();
        assertThat(second.entries()).extracting(KeyValue::key).containsExactly("/p/ü");
        assertThat(second.hasMore()).isFalse();
    }

    /** Guards against a lost reply that is reported as not applied: the write did take effect. */
    @Test
    void lostReplyIsUnknown() {
        fixture.standin.setFaults(KvFaults.loseNextAnswers(1));

        assertThat(await(store.commit(create("/a", "1")))).isInstanceOf(WriteResult.OutcomeUnknown.class);
        assertThat(valueOf("/a")).isEqualTo("1");
    }

    /** Guards against a call without a timeout, and against a late write that is reported as not applied. */
    @Test
    void slowReplyIsUnknown() {
        put("/a", "0");
        fixture.standin.setFaults(KvFaults.slow(60_000));

        assertThat(put("/a", "1")).isInstanceOf(WriteResult.OutcomeUnknown.class);
        assertThat(await(store.get("/a"))).isInstanceOf(ReadResult.Unavailable.class);
        fixture.standin.setFaults(KvFaults.none());
        assertThat(valueOf("/a")).isEqualTo("1");
    }

    /** Guards against an outage that is reported as unknown although nothing was sent, and against a slow recovery. */
    @Test
    void outageWithoutConnectionIsUnavailable() {
        put("/a", "1");
        fixture.stopStandin();
        awaitUntil("closed connections", () -> put("/a", "2") instanceof WriteResult.Unavailable);

        assertThat(put("/a", "2")).isInstanceOf(WriteResult.Unavailable.class);
        assertThat(await(store.get("/a"))).isInstanceOf(ReadResult.Unavailable.class);
        fixture.restartStandin();
        assertThat(put("/a", "3")).isInstanceOf(WriteResult.Applied.class);
    }

    /** Guards against outages that look alike: without a leader nothing is applied, a cut connection leaves it open. */
    @Test
    void refusedAndDroppedCallsDiffer() {
        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.REFUSE));
        assertThat(put("/a", "1")).isInstanceOf(WriteResult.Unavailable.class);
        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.DROP));
        assertThat(put("/a", "1")).isInstanceOf(WriteResult.OutcomeUnknown.class);
        assertThat(await(store.get("/a"))).isInstanceOf(ReadResult.Unavailable.class);
    }

    /** Guards against an unknown lease that is reported as an outage. */
    @Test
    void unknownLeaseIsNotApplied() {
        Transaction put = new Transaction(List.of(), List.of(new Write.Put("/a", "1", 77)));

        assertThat(await(store.commit(put))).isInstanceOf(WriteResult.NotApplied.class);
        assertThat(valueOf("/a")).isEqualTo("absent");
    }

    /** Guards against unbounded waits: over the own or the service's limit the answer is a refusal. */
    @Test
    void limitsRefuseAtOnce() {
        fixture.standin.setFaults(KvFaults.limits(1, 1));
        assertThat(put("/a", "1")).isInstanceOf(WriteResult.Applied.class);
        assertThat(put("/a", "2")).isInstanceOf(WriteResult.RateLimited.class);
        await(store.get("/a"));
        assertThat(await(store.get("/a"))).isInstanceOf(ReadResult.RateLimited.class);

        fixture.standin.setFaults(KvFaults.none());
        try (EtcdStore small = fixture.connect(0.01, 0.01, 64)) {
            assertThat(await(small.commit(create("/b", "1")))).isInstanceOf(WriteResult.Applied.class);
            assertThat(await(small.commit(create("/c", "1")))).isInstanceOf(WriteResult.RateLimited.class);
            await(small.get("/b"));
            assertThat(await(small.get("/b"))).isInstanceOf(ReadResult.RateLimited.class);
        }
        assertThat(fixture.metrics.counter("store.calls.txn.OverBudget").getCount())
                .isEqualTo(1);
    }

    /** Guards against calls that pile up while the service is slow. */
    @Test
    void callsInFlightAreBounded() {
        fixture.standin.setFaults(KvFaults.slow(60_000));
        try (EtcdStore narrow = fixture.connect(1_000, 1_000, 1)) {
            CompletableFuture<WriteResult> first = narrow.commit(create("/a", "1"));
            assertThat(await(narrow.commit(create("/b", "1")))).isInstanceOf(WriteResult.RateLimited.class);
            assertThat(await(first)).isInstanceOf(WriteResult.OutcomeUnknown.class);
            awaitUntil("a free place", () -> !(await(narrow.get("/a")) instanceof ReadResult.RateLimited));
        }
    }

    /** Guards against keys that outlive their lease, and against a renewal of an expired lease that looks valid. */
    @Test
    void leasesExpireUnlessKeptAlive() {
        assertThat(await(store.grantLease(5, 10))).isInstanceOf(WriteResult.Applied.class);
        await(store.commit(new Transaction(List.of(), List.of(new Write.Put("/a", "1", 5)))));

        fixture.clock.advanceMillis(9_000);
        assertThat(await(store.keepLeaseAlive(5)).toOptional()).contains(10L);
        fixture.clock.advanceMillis(9_000);
        assertThat(valueOf("/a")).isEqualTo("1");
        fixture.clock.advanceMillis(1_000);
        assertThat(valueOf("/a")).isEqualTo("absent");
        assertThat(await(store.keepLeaseAlive(5)).toOptional()).contains(0L);

        await(store.grantLease(6, 10));
        await(store.commit(new Transaction(List.of(), List.of(new Write.Put("/b", "1", 6)))));
        assertThat(await(store.revokeLease(6))).isInstanceOf(WriteResult.Applied.class);
        assertThat(valueOf("/b")).isEqualTo("absent");
    }

    private static final class Recorder implements WatchListener {
        private final List<KeyChange> changes = Collections.synchronizedList(new ArrayList<>());
        private final AtomicBoolean compacted = new AtomicBoolean();

        @Override
        public void onChanges(List<KeyChange> newChanges, long revision) {
            changes.addAll(newChanges);
        }

        @Override
        public void onCompacted(long revision) {
            compacted.set(true);
        }

        private List<String> values() {
            synchronized (changes) {
                return changes.stream()
                        .map(change ->
                                change.deleted() ? "deleted" : change.keyValue().value())
                        .toList();
            }
        }

        private void awaitValues(String... expected) {
            awaitUntil("changes", () -> values().size() >= expected.length);
            assertThat(values()).containsExactly(expected);
        }
    }

    /** Guards against changes that are missed or repeated when a watch is cut, silent, or started late. */
    @Test
    void watchReportsEachChangeOnce() throws Exception {
        Recorder recorder = new Recorder();
        put("/w/a", "1");
        AutoCloseable watch = store.watch("/w/", 1, recorder);
        put("/x", "other");
        await(store.commit(new Transaction(List.of(), List.of(new Write.Delete("/w/a")))));
        recorder.awaitValues("1", "deleted");

        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.DROP));
        awaitUntil("the cut", () -> fixture.standin.openWatches() == 0);
        fixture.standin.setFaults(KvFaults.none());
        put("/w/a", "2");
        recorder.awaitValues("1", "deleted", "2");

        long opened = fixture.standin.counters().get("/v3/watch");
        fixture.standin.setFaults(KvFaults.withSilentWatches());
        put("/w/a", "3");
        awaitUntil("a new watch", () -> fixture.standin.counters().get("/v3/watch") > opened + 1);
        fixture.standin.setFaults(KvFaults.none());
        recorder.awaitValues("1", "deleted", "2", "3");
        watch.close();
    }

    /** Guards against a watch that hides that the service dropped changes. */
    @Test
    void compactionIsReported() throws Exception {
        for (int i = 0; i < 60; i++) {
            put("/w/a", "v" + i);
        }
        Recorder recorder = new Recorder();
        AutoCloseable watch = store.watch("/w/", 1, recorder);
        awaitUntil("compaction", recorder.compacted::get);
        awaitUntil("later changes", () -> recorder.values().contains("v59"));
        watch.close();
    }

    /** Guards against a watch that waits for a revision which a restored service reaches much later. */
    @Test
    void restoredServiceIsReported() throws Exception {
        Recorder recorder = new Recorder();
        put("/w/a", "1");
        put("/w/a", "2");
        AutoCloseable watch = store.watch("/w/", 1, recorder);
        recorder.awaitValues("1", "2");
        fixture.stopStandin();
        fixture.restartStandin();
        awaitUntil("the report", recorder.compacted::get);
        awaitUntil("a write", () -> put("/w/a", "3") instanceof WriteResult.Applied);
        recorder.awaitValues("1", "2", "3");
        watch.close();
    }
}
