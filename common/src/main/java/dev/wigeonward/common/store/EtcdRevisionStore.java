package dev.wigeonward.common.store;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import com.google.common.base.Preconditions;
import dev.wigeonward.common.store.WriteResult.Applied;
import dev.wigeonward.common.store.WriteResult.CompareFailed;
import dev.wigeonward.common.store.WriteResult.OutcomeUnknown;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;

/**
 * Operators' revisions at the key-value service. Head names a number and the id of the command that wrote it; the text
 * is in the history, written in the same transaction. The text in both would double the size of each write and pass the
 * 1.5 MiB that etcd accepts.
 *
 * <p>The methods block and must not be called on the store's thread, except those that return a future.
 */
public final class EtcdRevisionStore implements RevisionStore {
    /** The key of head. */
    public static final String HEAD_KEY = "/wigeonward/config/head";

    private static final System.Logger LOG = System.getLogger(EtcdRevisionStore.class.getName());
    private static final String HISTORY_PREFIX = "/wigeonward/config/history/";
    /** Head and the text it names. */
    private static final int READ_CALLS = 2;
    /** Head, the write, the own entry, and head with its text again. */
    private static final int WRITE_CALLS = 5;
    /** Bounds the answers of a page, as texts may have a megabyte. */
    private static final int CALL_ENTRIES = 4;

    private final KeyValueStore store;
    private final long callTimeoutMillis;

    private EtcdRevisionStore(KeyValueStore store, long callTimeoutMillis) {
        this.store = Objects.requireNonNull(store, "store");
        this.callTimeoutMillis = callTimeoutMillis;
    }

    /**
     * Returns revisions in a store.
     *
     * @param callTimeoutMillis time within which the store answers each call; a method makes several
     */
    public static EtcdRevisionStore create(KeyValueStore store, long callTimeoutMillis) {
        Preconditions.checkArgument(callTimeoutMillis > 0, "call timeout is %s ms", callTimeoutMillis);
        return new EtcdRevisionStore(store, callTimeoutMillis);
    }

    /** Returns the key of a history entry; numbers have leading zeros, so that key order is number order. */
    private static String historyKey(long number) {
        return HISTORY_PREFIX + String.format("%012d", number);
    }

    @Override
    public HeadResult readHead() {
        return await(readHeadAsync(), READ_CALLS, HeadResult.Unavailable::new);
    }

    /** Returns the newest accepted revision, completed on the store's thread. */
    public CompletableFuture<HeadResult> readHeadAsync() {
        return store.get(HEAD_KEY).thenCompose(result -> {
            if (result.value().isEmpty()) {
                return done(new HeadResult.Unavailable(result.toString()));
            }
            Optional<KeyValue> head = result.value().get();
            return head.isEmpty() ? done(new HeadResult.Empty()) : readText(head.get());
        });
    }

    private CompletableFuture<HeadResult> readText(KeyValue head) {
        Optional<Long> number = RevisionJson.headNumber(head.value());
        if (number.isEmpty()) {
            return done(malformed(HEAD_KEY));
        }
        return readEntry(number.get()).thenApply(result -> {
            if (result.value().isEmpty()) {
                return new HeadResult.Unavailable(result.toString());
            }
            Optional<StoredRevision> revision = result.value().get();
            return revision.isPresent() ? new HeadResult.Found(revision.get()) : malformed(historyKey(number.get()));
        });
    }

    private static HeadResult malformed(String key) {
        LOG.log(Level.ERROR, "{0} is missing or malformed", key);
        return new HeadResult.Unavailable(key + " is missing or malformed");
    }

    private CompletableFuture<ReadResult<Optional<StoredRevision>>> readEntry(long number) {
        return store.get(historyKey(number)).thenApply(result -> {
            if (result instanceof ReadResult.Read<Optional<KeyValue>> read) {
                Optional<StoredRevision> revision = read.content().flatMap(entry -> RevisionJson.parse(entry.value()));
                return new ReadResult.Read<>(revision, read.revision());
            }
            return new ReadResult.Unavailable<>(result.toString());
        });
    }

    @Override
    public WriteResult compareAndSwapHead(long expectedNumber, StoredRevision next) {
        long number = next.revision().number();
        Preconditions.checkArgument(number > expectedNumber, "number %s follows %s", number, expectedNumber);
        CompletableFuture<WriteResult> result = store.get(HEAD_KEY).thenCompose(read -> {
            if (read.value().isEmpty()) {
                return done(new WriteResult.Unavailable(read.toString()));
            }
            Optional<KeyValue> head = read.value().get();
            Optional<Long> current =
                    head.isEmpty() ? Optional.of(0L) : head.flatMap(entry -> RevisionJson.headNumber(entry.value()));
            return current.equals(Optional.of(expectedNumber))
                    ? write(head.map(KeyValue::modRevision).orElse(0L), next)
                    : whoWrote(next, false);
        });
        return await(result, WRITE_CALLS, WriteResult.Unavailable::new);
    }

    private CompletableFuture<WriteResult> write(long headModRevision, StoredRevision next) {
        Transaction transaction = new Transaction(
                List.of(new Compare.ModRevision(HEAD_KEY, headModRevision)),
                List.of(
                        new Write.Put(HEAD_KEY, RevisionJson.head(next), 0),
                        new Write.Put(historyKey(next.revision().number()), RevisionJson.entry(next), 0)));
        return store.commit(transaction).thenCompose(result -> {
            if (result instanceof Applied) {
                return done(new WriteResult.Applied());
            }
            boolean inDoubt = result instanceof OutcomeUnknown;
            return inDoubt || result instanceof CompareFailed
                    ? whoWrote(next, inDoubt)
                    : done(new WriteResult.Unavailable(result.toString()));
        });
    }

    /** Finds out whether a write took effect: the entry of its number has the id of the command that wrote it. */
    private CompletableFuture<WriteResult> whoWrote(StoredRevision next, boolean inDoubt) {
        long number = next.revision().number();
        return readEntry(number).thenCompose(entry -> {
            boolean own = entry.value()
                    .flatMap(revision -> revision)
                    .filter(revision -> revision.applyId().equals(next.applyId()))
                    .isPresent();
            if (own) {
                return done(new WriteResult.Applied());
            }
            if (entry.value().isEmpty()) {
                return done(new WriteResult.Unavailable(entry.toString()));
            }
            return readHeadAsync().thenApply(head -> conflict(head, number, inDoubt));
        });
    }

    /** After a write in doubt, a head below its number leaves open whether the write will still take effect. */
    private static WriteResult conflict(HeadResult head, long number, boolean inDoubt) {
        if (head instanceof HeadResult.Found found) {
            return inDoubt && found.head().revision().number() < number
                    ? new WriteResult.Unavailable("no answer to the write of " + number)
                    : new WriteResult.Conflict(found.head());
        }
        return head instanceof HeadResult.Empty && !inDoubt
                ? new WriteResult.HeadMissing()
                : new WriteResult.Unavailable(head.toString());
    }

    @Override
    public HistoryResult readHistory(long newestNumber, int maxEntries) {
        Preconditions.checkArgument(maxEntries > 0, "maxEntries is %s", maxEntries);
        return await(
                store.get(HEAD_KEY).thenCompose(result -> {
                    if (result.value().isEmpty()) {
                        return done(new HistoryResult.Unavailable(result.toString()));
                    }
                    long head = result.value()
                            .get()
                            .flatMap(entry -> RevisionJson.headNumber(entry.value()))
                            .orElse(0L);
                    long newest = Math.min(head, newestNumber);
                    return readPage(Math.max(0, newest - maxEntries), newest, new ArrayList<>());
                }),
                READ_CALLS + maxEntries / CALL_ENTRIES,
                HistoryResult.Unavailable::new);
    }

    /** Reads the entries after one number up to another, oldest first, in several calls. */
    private CompletableFuture<HistoryResult> readPage(long after, long newest, List<StoredRevision> entries) {
        if (after >= newest) {
            Collections.reverse(entries);
            return done(new HistoryResult.Page(entries));
        }
        int limit = (int) Math.min(CALL_ENTRIES, newest - after);
        return store.range(HISTORY_PREFIX, historyKey(after), limit).thenCompose(result -> {
            if (result.value().isEmpty()) {
                return done(new HistoryResult.Unavailable(result.toString()));
            }
            result.value().get().entries().stream()
                    .flatMap(entry -> RevisionJson.parse(entry.value()).stream())
                    .filter(revision -> revision.revision().number() <= newest)
                    .forEach(entries::add);
            return readPage(after + limit, newest, entries);
        });
    }

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** Waits one call longer than the calls in sequence, so that a last call in time is not cut off. */
    private <T> T await(CompletableFuture<T> result, int calls, Function<String, T> unavailable) {
        try {
            return result.get((calls + 1L) * callTimeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return unavailable.apply("interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return unavailable.apply(e.toString());
        }
    }
}
