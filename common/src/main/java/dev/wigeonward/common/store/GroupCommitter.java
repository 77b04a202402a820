package dev.wigeonward.common.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Preconditions;

/**
 * Group commit for conditional writes to single keys, which bounds the number of calls. If a group's transaction fails
 * because of its conditions, the answer shows which conditions did not hold. Their writes are completed as failed; the
 * other writes are committed again, first as one group and then one by one. All state is confined to the store's
 * thread.
 */
final class GroupCommitter {
    /** Most writes in a group; etcd accepts 128 operations in a transaction. */
    static final int GROUP_LIMIT = 64;

    /** Longest time for which a write waits for others to join its group. */
    private static final long LONGEST_WAIT_MILLIS = 2;
    /** Pause after a group was rate limited; further writes join the next group in the meantime. */
    private static final long REFUSED_PAUSE_MILLIS = 25;
    /** Refusals after which a write fails: with the pauses one second, well below the deadlines of claimed requests. */
    private static final int MAX_REFUSALS = 40;

    /** Most characters of values in a group, so that its base64 form stays below the 1.5 MiB that etcd accepts. */
    private static final int GROUP_LIMIT_CHARS = 512 * 1024;

    /** Most writes that wait for a group; further ones are refused as rate limited. */
    private static final int WAITING_LIMIT = 4_096;

    private final KeyValueStore store;
    private final ScheduledExecutorService thread;
    private final int groupLimit;
    private final Deque<PendingWrite> waiting = new ArrayDeque<>();
    private boolean flushScheduled;
    private boolean overBudget;

    GroupCommitter(KeyValueStore store, ScheduledExecutorService thread, int groupLimit) {
        Preconditions.checkArgument(
                groupLimit >= 1 && groupLimit <= GROUP_LIMIT,
                "groupLimit is %s, expected 1 to %s",
                groupLimit,
                GROUP_LIMIT);
        this.store = store;
        this.thread = thread;
        this.groupLimit = groupLimit;
    }

    /** Write that waits for its group, with the number of times that its group was rate limited. */
    private record PendingWrite(Condition condition, Write write, CompletableFuture<WriteResult> result, int refusals) {
        PendingWrite withRefusal() {
            return new PendingWrite(condition, write, result, refusals + 1);
        }

        int chars() {
            return write instanceof Write.Put put ? put.value().length() : 0;
        }
    }

    /**
     * Submits a write under a condition on the same key and returns its result. Must be called on the store's thread.
     */
    CompletableFuture<WriteResult> submit(Condition condition, Write write) {
        Preconditions.checkArgument(
                condition.key().equals(write.key()),
                "%s and %s have different keys, expected the same key",
                condition,
                write);
        PendingWrite item = new PendingWrite(condition, write, new CompletableFuture<>(), 0);
        if (waiting.size() >= WAITING_LIMIT) {
            item.result().complete(new WriteResult.RateLimited(WAITING_LIMIT + " claim writes are waiting"));
            return item.result();
        }
        waiting.add(item);
        if (waiting.size() >= groupLimit && !overBudget) {
            flush();
        }
        scheduleFlush(LONGEST_WAIT_MILLIS);
        return item.result();
    }

    private void scheduleFlush(long pauseMillis) {
        if (!flushScheduled && !waiting.isEmpty()) {
            flushScheduled = true;
            thread.schedule(
                    () -> {
                        flushScheduled = false;
                        overBudget = false;
                        flush();
                        scheduleFlush(LONGEST_WAIT_MILLIS);
                    },
                    pauseMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends one group. A second write to a key waits for the next group, as a transaction may write a key only once.
     */
    private void flush() {
        List<PendingWrite> group = new ArrayList<>();
        List<PendingWrite> later = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int chars = 0;
        while (!waiting.isEmpty() && group.size() < groupLimit) {
            PendingWrite item = waiting.peek();
            if (!group.isEmpty() && chars + item.chars() > GROUP_LIMIT_CHARS) {
                break;
            }
            waiting.remove();
            if (keys.add(item.write().key())) {
                group.add(item);
                chars += item.chars();
            } else {
                later.add(item);
            }
        }
        for (int i = later.size() - 1; i >= 0; i--) {
            waiting.addFirst(later.get(i));
        }
        if (!group.isEmpty()) {
            commit(group, true);
        }
    }

    private void commit(List<PendingWrite> group, boolean firstAttempt) {
        Transaction transaction = new Transaction(
                group.stream().map(PendingWrite::condition).toList(),
                group.stream().map(PendingWrite::write).toList());
        store.commit(transaction).thenAcceptAsync(result -> handleResult(group, result, firstAttempt), thread);
    }

    /**
     * Puts the writes of a rate-limited group back at the head of the queue, so that they are sent with the next group;
     * nothing was written. Writes with too many refusals are completed with the result.
     */
    private void requeue(List<PendingWrite> group, WriteResult result) {
        for (int i = group.size() - 1; i >= 0; i--) {
            PendingWrite item = group.get(i);
            if (item.refusals() >= MAX_REFUSALS) {
                item.result().complete(result);
            } else {
                waiting.addFirst(item.withRefusal());
            }
        }
        overBudget = true;
        scheduleFlush(REFUSED_PAUSE_MILLIS);
    }

    private void handleResult(List<PendingWrite> group, WriteResult result, boolean firstAttempt) {
        if (result instanceof WriteResult.RateLimited) {
            requeue(group, result);
            return;
        }
        if (group.size() == 1 || !(result instanceof WriteResult.CompareFailed failed)) {
            group.forEach(item -> item.result().complete(result));
            return;
        }
        List<PendingWrite> others = new ArrayList<>();
        for (PendingWrite item : group) {
            String key = item.write().key();
            Optional<KeyValue> current = Optional.ofNullable(failed.current().get(key));
            if (item.condition().isMetBy(current)) {
                others.add(item);
            } else {
                Map<String, KeyValue> own =
                        current.map(entry -> Map.of(key, entry)).orElse(Map.of());
                item.result().complete(new WriteResult.CompareFailed(own, failed.revision()));
            }
        }
        if (others.isEmpty()) {
            return;
        }
        if (firstAttempt) {
            commit(others, false);
        } else {
            others.forEach(item -> commit(List.of(item), false));
        }
    }
}
