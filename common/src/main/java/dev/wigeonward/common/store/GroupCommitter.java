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
 * Commits writes to single keys in groups, to bound the number of calls. When a group's compare fails, the answer shows
 * which keys failed it; these are answered, and the others are committed again: once as a group, then one by one. All
 * state belongs to the store's thread.
 */
final class GroupCommitter {
    /** The largest group; etcd accepts 128 operations in a transaction. */
    static final int GROUP_LIMIT = 64;

    private static final long LONGEST_WAIT_MILLIS = 2;
    /** Pause after a group that the budget of calls refused; meanwhile the next group grows. */
    private static final long REFUSED_PAUSE_MILLIS = 25;
    /** Refusals after which a write is given up: a second, well under the deadlines of claimed requests. */
    private static final int MAX_REFUSALS = 40;

    /** Bounds a group below the 1.5 MiB that etcd accepts, after base64. */
    private static final int GROUP_LIMIT_CHARS = 512 * 1024;

    private static final int WAITING_LIMIT = 4_096;

    private final KeyValueStore store;
    private final ScheduledExecutorService thread;
    private final int groupLimit;
    private final Deque<Item> waiting = new ArrayDeque<>();
    private boolean flushScheduled;
    private boolean overBudget;

    GroupCommitter(KeyValueStore store, ScheduledExecutorService thread, int groupLimit) {
        Preconditions.checkArgument(groupLimit >= 1 && groupLimit <= GROUP_LIMIT, "group limit is %s", groupLimit);
        this.store = store;
        this.thread = thread;
        this.groupLimit = groupLimit;
    }

    private record Item(Compare compare, Write write, CompletableFuture<WriteResult> result, int refusals) {
        Item refused() {
            return new Item(compare, write, result, refusals + 1);
        }

        int chars() {
            return write instanceof Write.Put put ? put.value().length() : 0;
        }
    }

    /** Returns the result of one write under one condition on the same key; called on the store's thread. */
    CompletableFuture<WriteResult> submit(Compare compare, Write write) {
        Preconditions.checkArgument(compare.key().equals(write.key()), "keys differ: %s, %s", compare, write);
        Item item = new Item(compare, write, new CompletableFuture<>(), 0);
        if (waiting.size() >= WAITING_LIMIT) {
            item.result().complete(new WriteResult.RateLimited("claims waiting"));
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

    /** Sends one group; a second write to a key waits for the next group, as a transaction writes a key once. */
    private void flush() {
        List<Item> group = new ArrayList<>();
        List<Item> later = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int chars = 0;
        while (!waiting.isEmpty() && group.size() < groupLimit) {
            Item item = waiting.peek();
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

    private void commit(List<Item> group, boolean firstAttempt) {
        Transaction transaction = new Transaction(
                group.stream().map(Item::compare).toList(),
                group.stream().map(Item::write).toList());
        store.commit(transaction).thenAcceptAsync(result -> answer(group, result, firstAttempt), thread);
    }

    /** Nothing was written, so the group is sent again together with what comes meanwhile. */
    private void waitAndGrow(List<Item> group, WriteResult result) {
        for (int i = group.size() - 1; i >= 0; i--) {
            Item item = group.get(i);
            if (item.refusals() >= MAX_REFUSALS) {
                item.result().complete(result);
            } else {
                waiting.addFirst(item.refused());
            }
        }
        overBudget = true;
        scheduleFlush(REFUSED_PAUSE_MILLIS);
    }

    private void answer(List<Item> group, WriteResult result, boolean firstAttempt) {
        if (result instanceof WriteResult.RateLimited) {
            waitAndGrow(group, result);
            return;
        }
        if (group.size() == 1 || !(result instanceof WriteResult.CompareFailed failed)) {
            group.forEach(item -> item.result().complete(result));
            return;
        }
        List<Item> others = new ArrayList<>();
        for (Item item : group) {
            String key = item.write().key();
            Optional<KeyValue> current = Optional.ofNullable(failed.current().get(key));
            if (item.compare().holds(current)) {
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
