package dev.wigeonward.standins.kv;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import dev.wigeonward.common.store.EtcdRevisionStore;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.ReadResult;
import dev.wigeonward.common.store.RevisionHeadWatch;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.WriteResult;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.standins.Awaiting.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EtcdRevisionStoreTest {
    private final StoreFixture fixture = new StoreFixture();
    private final EtcdRevisionStore revisions =
            EtcdRevisionStore.create(fixture.store, StoreFixture.CALL_TIMEOUT_MILLIS);

    @AfterEach
    void close() {
        fixture.close();
    }

    private static StoredRevision revision(long number, String applyId) {
        return new StoredRevision(Revision.of(number, "rule " + number + " ü\n", "ana", "test"), applyId, 5);
    }

    private void apply(StoredRevision next) {
        assertThat(revisions.compareAndSwapHead(next.revision().number() - 1, next))
                .isEqualTo(new RevisionStore.WriteResult.Applied());
    }

    /** Guards against revisions that read back differently, and against a history in the wrong order. */
    @Test
    void headAndHistoryReadBack() {
        assertThat(revisions.readHead()).isEqualTo(new RevisionStore.HeadResult.Empty());
        assertThat(revisions.readHistory(9, 9)).isEqualTo(new RevisionStore.HistoryResult.Page(List.of()));
        for (int number = 1; number <= 12; number++) {
            apply(revision(number, "id" + number));
        }
        assertThat(revisions.readHead()).isEqualTo(new RevisionStore.HeadResult.Found(revision(12, "id12")));
        assertThat(revisions.readHistory(11, 6))
                .isEqualTo(new RevisionStore.HistoryResult.Page(List.of(
                        revision(11, "id11"),
                        revision(10, "id10"),
                        revision(9, "id9"),
                        revision(8, "id8"),
                        revision(7, "id7"),
                        revision(6, "id6"))));
        assertThat(revisions.readHistory(Long.MAX_VALUE, 100))
                .isInstanceOfSatisfying(RevisionStore.HistoryResult.Page.class, page -> assertThat(page.entries())
                        .hasSize(12));
    }

    /** Guards against a text that is refused although it is within the limit of 1 MB. */
    @Test
    void largestTextIsStored() {
        Revision largest = Revision.of(1, "x".repeat(1_000_000), "ana", "test");
        apply(new StoredRevision(largest, "id1", 5));
        assertThat(revisions.readHead())
                .isEqualTo(new RevisionStore.HeadResult.Found(new StoredRevision(largest, "id1", 5)));
    }

    /** Fails if an operator's change overwrites one that the operator has not read. */
    private void checkConflict(UnaryOperator<KeyValueStore> variant) {
        RevisionStore other = EtcdRevisionStore.create(variant.apply(fixture.store), StoreFixture.CALL_TIMEOUT_MILLIS);
        apply(revision(1, "mine"));
        assertThat(other.compareAndSwapHead(0, revision(1, "other")))
                .isEqualTo(new RevisionStore.WriteResult.Conflict(revision(1, "mine")));
        assertThat(revisions.readHead()).isEqualTo(new RevisionStore.HeadResult.Found(revision(1, "mine")));
    }

    /** Guards against operators overwriting each other's changes. */
    @Test
    void secondOperatorGetsAConflict() {
        checkConflict(store -> store);
    }

    /** Verifies that the check fails for a store that reads an old head and ignores the condition of the write. */
    @Test
    void checkFindsAnUnconditionalWrite() {
        assertThatThrownBy(() -> checkConflict(store -> ForwardingStore.ignoringConditions(withEmptyFirstRead(store))))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against a conflict that is missed because both operators read head before either of them wrote. */
    @Test
    void writeIsConditionalOnTheHeadThatWasRead() {
        checkConflict(EtcdRevisionStoreTest::withEmptyFirstRead);
    }

    /** Returns a store whose first read finds no value. */
    private static KeyValueStore withEmptyFirstRead(KeyValueStore store) {
        return new ForwardingStore(store) {
            private boolean firstReadDone;

            @Override
            public synchronized CompletableFuture<ReadResult<Optional<KeyValue>>> get(String key) {
                if (firstReadDone) {
                    return super.get(key);
                }
                firstReadDone = true;
                return super.get("/wigeonward/none");
            }
        };
    }

    /** Guards against an accepted change reported as failed, and against an outage reported as a conflict. */
    @Test
    void lostReplyIsRecognizedAndOutagesAreReported() {
        fixture.standin.setFaults(KvFaults.loseNextAnswers(1));
        assertThat(revisions.compareAndSwapHead(4, revision(5, "id5")))
                .isEqualTo(new RevisionStore.WriteResult.HeadMissing());
        apply(revision(1, "id1"));
        apply(revision(2, "id2"));
        assertThat(revisions.compareAndSwapHead(0, revision(1, "id1")))
                .isEqualTo(new RevisionStore.WriteResult.Applied());

        assertThat(revisions.compareAndSwapHead(4, revision(5, "id5")))
                .isEqualTo(new RevisionStore.WriteResult.Conflict(revision(2, "id2")));

        fixture.standin.setFaults(KvFaults.random(0, 1, 1));
        assertThat(revisions.compareAndSwapHead(2, revision(3, "id3")))
                .isInstanceOf(RevisionStore.WriteResult.Unavailable.class);
        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.REFUSE));
        assertThat(revisions.compareAndSwapHead(2, revision(3, "id3")))
                .isInstanceOf(RevisionStore.WriteResult.Unavailable.class);
        assertThat(revisions.readHead()).isInstanceOf(RevisionStore.HeadResult.Unavailable.class);
        assertThat(revisions.readHistory(1, 1)).isInstanceOf(RevisionStore.HistoryResult.Unavailable.class);
    }

    /** Guards against a call that fails before it reads back a write whose reply came after the call timeout. */
    @Test
    void lateReplyLeavesTimeToReadBack() {
        KeyValueStore late = new ForwardingStore(fixture.store) {
            @Override
            public CompletableFuture<WriteResult> commit(Transaction transaction) {
                return super.commit(transaction).thenCompose(applied -> new CompletableFuture<WriteResult>()
                        .completeOnTimeout(
                                new WriteResult.OutcomeUnknown("late"),
                                StoreFixture.CALL_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS));
            }
        };
        assertThat(EtcdRevisionStore.create(late, StoreFixture.CALL_TIMEOUT_MILLIS)
                        .compareAndSwapHead(0, revision(1, "id1")))
                .isEqualTo(new RevisionStore.WriteResult.Applied());
    }

    /** Guards against readers that miss a change made before, during or after an outage. */
    @Test
    void headWatchReportsEachState() {
        List<RevisionStore.HeadResult> heads = new CopyOnWriteArrayList<>();
        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.REFUSE));
        RevisionHeadWatch watch =
                RevisionHeadWatch.start(fixture.store, revisions, fixture.thread, new Random(1), heads::add);
        awaitUntil("the outage", () -> !heads.isEmpty());
        fixture.standin.setFaults(KvFaults.none());
        awaitUntil("no head", () -> heads.contains(new RevisionStore.HeadResult.Empty()));
        apply(revision(1, "id1"));
        awaitUntil("head 1", () -> heads.contains(new RevisionStore.HeadResult.Found(revision(1, "id1"))));

        fixture.standin.setFaults(KvFaults.down(KvFaults.Outage.DROP));
        awaitUntil("the cut", () -> fixture.standin.openWatches() == 0);
        fixture.standin.setFaults(KvFaults.none());
        awaitUntil("a write", () -> revisions
                .compareAndSwapHead(1, revision(2, "id2"))
                .equals(new RevisionStore.WriteResult.Applied()));
        awaitUntil("head 2", () -> heads.contains(new RevisionStore.HeadResult.Found(revision(2, "id2"))));
        watch.close();
    }
}
