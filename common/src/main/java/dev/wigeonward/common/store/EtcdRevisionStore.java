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
 * Store of the operators' revisions in the key-value service. Head holds the number of the newest revision and the id
 * of the command that wrote it; the history entry, written in the same transaction, holds the text. Storing the text in
 * both would double the size of each write and exceed the 1.5 MiB that etcd accepts.
 *
 * <p>Methods that return a future do not block. All others block and must not be called on the store's thread.
 */
public final class EtcdRevisionStore implements RevisionStore {
    /** Key of head. */
    public static final String HEAD_KEY = "/wigeonward/config/head";

    private static final System.Logger LOG = System.getLogger(EtcdRevisionStore.class.getName());
    private static final String HISTORY_PREFIX = "/wigeonward/config/history/";
    /** Calls of a read: head, and the history entry that it names. */
    private static final int READ_CALLS = 2;
    /** Calls of a write: head, the write, the history entry of its number, and head with its history entry again. */
    private static final int WRITE_CALLS = 5;
    /** Most history entries read in one call; bounds the size of an answer, as a text may have a megabyte. */
    private static final int MAX_ENTRIES_PER_CALL = 4;

    private final KeyValueStore store;
    private final long callTimeoutMillis;

    private EtcdRevisionStore(KeyValueStore store, long callTimeoutMillis) {
        this.store = Objects.requireNonNull(store, "store");
        this.callTimeoutMillis = callTimeoutMillis;
    }

    /**
     * Returns a revision store over a key-value store.
     *
     * @param callTimeoutMillis time within which the store answers each call; a method makes several calls
     */
    public static EtcdRevisionStore create(KeyValueStore store, long callTimeoutMillis) {
        Preconditions.checkArgument(
                callTimeoutMillis > 0, "callTimeoutMillis is %s, expected more than 0", callTimeoutMillis);
        return new EtcdRevisionStore(store, callTimeoutMillis);
    }

    /** Returns the key of a history entry; numbers have leading zeros, so that keys sort by number. */
    private static String historyKey(long number) {
        return HISTORY_PREFIX + String.format("%012d", number);
    }

    @Override
    public HeadResult readHead() {
        return await(readHeadAsync(), READ_CALLS, HeadResult.Unavailable::new);
    }

    /** Reads the newest accepted revision; the result is completed on the store's thread. */
    public CompletableFuture<HeadResult> readHeadAsync() {
        return store.get(HEAD_KEY).thenCompose(result -> {
            if (result.toOptional().isEmpty()) {
                return completed(new HeadResult.Unavailable(result.toString()));
            }
            Optional<KeyValue> head = result.toOptional().get();
            return head.isEmpty() ? completed(new HeadResult.Empty()) : readText(head.get());
        });
    }

    private CompletableFuture<HeadResult> readText(KeyValue head) {
        Optional<Long> number = RevisionJson.headNumber(head.value());
        if (number.isEmpty()) {
            return completed(malformed(HEAD_KEY));
        }
        return readEntry(number.get()).thenApply(result -> {
            if (result.toOptional().isEmpty()) {
                return new HeadResult.Unavailable(result.toString());
            }
            Optional<StoredRevision> revision = result.toOptional().get();
            return revision.isPresent() ? new HeadResult.Found(revision.get()) : malformed(historyKey(number.get()));
        });
    }

    private static HeadResult malformed(String key) {
        LOG.log(Level.ERROR, "key {0} is missing or malformed in the store", key);
        return new HeadResult.Unavailable("key " + key + " is missing or malformed in the store");
    }

    private CompletableFuture<ReadResult<Optional<StoredRevision>>> readEntry(long number) {
        return store.get(historyKey(number)).thenApply(result -> {
            if (result instanceof ReadResult.Success<Optional<KeyValue>> read) {
                Optional<StoredRevision> revision = read.content().flatMap(entry -> RevisionJson.parse(entry.value()));
                return new ReadResult.Success<>(revision, read.revision());
            }
            return new ReadResult.Unavailable<>(result.toString());
        });
    }

    @Override
    public WriteResult compareAndSwapHead(long expectedNumber, StoredRevision next) {
        long number = next.revision().number();
        Preconditions.checkArgument(
                number > expectedNumber,
                "number is %s, expected more than the expected number of head, %s",
                number,
                expectedNumber);
        CompletableFuture<WriteResult> result = store.get(HEAD_KEY).thenCompose(read -> {
            if (read.toOptional().isEmpty()) {
                return completed(new WriteResult.Unavailable(read.toString()));
            }
            Optional<KeyValue> head = read.toOptional().get();
            Optional<Long> current =
                    head.isEmpty() ? Optional.of(0L) : head.flatMap(entry -> RevisionJson.headNumber(entry.value()));
            return current.equals(Optional.of(expectedNumber))
                    ? write(head.map(KeyValue::modRevision).orElse(0L), next)
                    : resolveWrite(next, false);
        });
        return await(result, WRITE_CALLS, WriteResult.Unavailable::new);
    }

    private CompletableFuture<WriteResult> write(long headModRevision, StoredRevision next) {
        Transaction transaction = new Transaction(
                List.of(new Condition.ModRevision(HEAD_KEY, headModRevision)),
                List.of(
                        new Write.Put(HEAD_KEY, RevisionJson.head(next), 0),
                        new Write.Put(historyKey(next.revision().number()), RevisionJson.entry(next), 0)));
        return store.commit(transaction).thenCompose(result -> {
            if (result instanceof Applied) {
                return completed(new WriteResult.Applied());
            }
            boolean inDoubt = result instanceof OutcomeUnknown;
            return inDoubt || result instanceof CompareFailed
                    ? resolveWrite(next, inDoubt)
                    : completed(new WriteResult.Unavailable(result.toString()));
        });
    }

    /**
     * Returns the result of a write whose condition did not hold or whose reply was lost. The write took effect if the
     * history entry of its number has the id of the command that wrote it.
     */
    private CompletableFuture<WriteResult> resolveWrite(StoredRevision next, boolean inDoubt) {
        long number = next.revision().number();
        return readEntry(number).thenCompose(entry -> {
            boolean own = entry.toOptional()
                    .flatMap(revision -> revision)
                    .filter(revision -> revision.applyId().equals(next.applyId()))
                    .isPresent();
            if (own) {
                return completed(new WriteResult.Applied());
            }
            if (entry.toOptional().isEmpty()) {
                return completed(new WriteResult.Unavailable(entry.toString()));
            }
            return readHeadAsync().thenApply(head -> conflict(head, number, inDoubt));
        });
    }

    /**
     * Returns the result of a write that is not in the history. If the write is in doubt and head is still below its
     * number, the write may take effect later, so the result is unavailable and not a conflict.
     */
    private static WriteResult conflict(HeadResult head, long number, boolean inDoubt) {
        if (head instanceof HeadResult.Found found) {
            return inDoubt && found.head().revision().number() < number
                    ? new WriteResult.Unavailable("no answer to the write of revision " + number)
                    : new WriteResult.Conflict(found.head());
        }
        return head instanceof HeadResult.Empty && !inDoubt
                ? new WriteResult.HeadMissing()
                : new WriteResult.Unavailable(head.toString());
    }

    @Override
    public HistoryResult readHistory(long newestNumber, int maxEntries) {
        Preconditions.checkArgument(maxEntries > 0, "maxEntries is %s, expected more than 0", maxEntries);
        return await(
                store.get(HEAD_KEY).thenCompose(result -> {
                    if (result.toOptional().isEmpty()) {
                        return completed(new HistoryResult.Unavailable(result.toString()));
                    }
                    long head = result.toOptional()
                            .get()
                            .flatMap(entry -> RevisionJson.headNumber(entry.value()))
                            .orElse(0L);
                    long newest = Math.min(head, newestNumber);
                    return readPage(Math.max(0, newest - maxEntries), newest, new ArrayList<>());
                }),
                READ_CALLS + maxEntries / MAX_ENTRIES_PER_CALL,
                HistoryResult.Unavailable::new);
    }

    /**
     * Reads the history entries above {@code after} up to {@code newest} in several calls, oldest first, and returns
     * them newest first.
     */
    private CompletableFuture<HistoryResult> readPage(long after, long newest, List<StoredRevision> entries) {
        if (after >= newest) {
            Collections.reverse(entries);
            return completed(new HistoryResult.Page(entries));
        }
        int limit = (int) Math.min(MAX_ENTRIES_PER_CALL, newest - after);
        return store.range(HISTORY_PREFIX, historyKey(after), limit).thenCompose(result -> {
            if (result.toOptional().isEmpty()) {
                return completed(new HistoryResult.Unavailable(result.toString()));
            }
            result.toOptional().get().entries().stream()
                    .flatMap(entry -> RevisionJson.parse(entry.value()).stream())
                    .filter(revision -> revision.revision().number() <= newest)
                    .forEach(entries::add);
            return readPage(after + limit, newest, entries);
        });
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /**
     * Waits for the result of several calls in sequence. The wait is one call timeout longer than the calls may take,
     * so that a last call that is answered in time is not cut off.
     */
    private <T> T await(CompletableFuture<T> result, int calls, Function<String, T> unavailable) {
        try {
            return result.get((calls + 1L) * callTimeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return unavailable.apply("interrupted while waiting for the store");
        } catch (ExecutionException | TimeoutException e) {
            return unavailable.apply(e.toString());
        }
    }
}
