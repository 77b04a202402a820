package dev.wigeonward.standins.kv;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** Keys, leases and the history of changes read by watches; thread-safe. */
final class KvState {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private final int historyRevisions;
    private final NavigableMap<String, KvEntry> entries = new TreeMap<>();
    private final NavigableMap<Long, List<KvEntry>> history = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long compactedRevision;

    KvState(Clock clock, int historyRevisions) {
        this.clock = clock;
        this.historyRevisions = historyRevisions;
    }

    private record Lease(long ttlSeconds, long expiresMillis) {}

    /** Write to one key; a delete has no value. */
    record Mutation(String key, Optional<String> value, long leaseId) {}

    /** Condition on the current entry of a key. */
    interface Condition {
        boolean holds(KvState state);
    }

    /** Events up to a revision, and the next revision to ask for. */
    record Events(List<KvEntry> events, long nextRevision, long compactedRevision) {}

    synchronized long revision() {
        return revision;
    }

    synchronized Optional<KvEntry> get(String key) {
        expireLeases();
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns the entries of one key (no end), or from a key up to an end, excluded. */
    synchronized List<KvEntry> range(String key, Optional<String> end) {
        expireLeases();
        if (end.isEmpty()) {
            return get(key).stream().toList();
        }
        return key.compareTo(end.get()) >= 0
                ? List.of()
                : List.copyOf(entries.subMap(key, true, end.get(), false).values());
    }

    /** Applies the mutations at one revision if all conditions hold; returns whether they hold. */
    synchronized boolean commit(List<Condition> conditions, List<Mutation> mutations) {
        expireLeases();
        if (!conditions.stream().allMatch(condition -> condition.holds(this))) {
            return false;
        }
        for (Mutation mutation : mutations) {
            if (mutation.leaseId() != 0 && !leases.containsKey(mutation.leaseId())) {
                throw new KvException(KvException.NOT_FOUND, "etcdserver: requested lease not found");
            }
        }
        if (mutations.stream().map(Mutation::key).distinct().count() < mutations.size()) {
            throw new KvException(KvException.INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request");
        }
        apply(mutations);
        return true;
    }

    private void apply(List<Mutation> mutations) {
        long next = revision + 1;
        List<KvEntry> events = new ArrayList<>();
        for (Mutation mutation : mutations) {
            KvEntry current = entries.get(mutation.key());
            if (mutation.value().isPresent()) {
                KvEntry entry = new KvEntry(
                        mutation.key(),
                        mutation.value().get(),
                        current == null ? next : current.createRevision(),
                        next,
                        current == null ? 1 : current.version() + 1,
                        mutation.leaseId(),
                        false);
                entries.put(entry.key(), entry);
                events.add(entry);
            } else if (current != null) {
                entries.remove(mutation.key());
                events.add(KvEntry.deletion(mutation.key(), next));
            }
        }
        if (events.isEmpty()) {
            return;
        }
        revision = next;
        history.put(next, List.copyOf(events));
        while (history.size() > historyRevisions) {
            compactedRevision = history.pollFirstEntry().getKey();
        }
        notifyAll();
    }

    synchronized void grantLease(long id, long ttlSeconds) {
        expireLeases();
        if (leases.containsKey(id)) {
            throw new KvException(KvException.FAILED_PRECONDITION, "etcdserver: lease already exists");
        }
        leases.put(id, new Lease(ttlSeconds, clock.millis() + ttlSeconds * MILLIS_PER_SECOND));
    }

    /** Renews a lease; returns the seconds left, or 0 if the lease does not exist. */
    synchronized long keepLeaseAlive(long id) {
        expireLeases();
        Lease lease = leases.computeIfPresent(
                id, (key, old) -> new Lease(old.ttlSeconds(), clock.millis() + old.ttlSeconds() * MILLIS_PER_SECOND));
        return lease == null ? 0 : lease.ttlSeconds();
    }

    synchronized void revokeLease(long id) {
        expireLeases();
        if (leases.remove(id) == null) {
            throw new KvException(KvException.NOT_FOUND, "etcdserver: requested lease not found");
        }
        deleteKeysOf(id);
    }

    private void deleteKeysOf(long leaseId) {
        apply(entries.values().stream()
                .filter(entry -> entry.leaseId() == leaseId)
                .map(entry -> new Mutation(entry.key(), Optional.empty(), 0))
                .toList());
    }

    /** Removes expired leases and their keys. */
    synchronized void expireLeases() {
        long nowMillis = clock.millis();
        List<Long> expired = leases.entrySet().stream()
                .filter(lease -> lease.getValue().expiresMillis() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(id -> {
            leases.remove(id);
            deleteKeysOf(id);
        });
    }

    /** Returns the events of a range of keys from a revision on; waits up to a limit if there are none yet. */
    synchronized Events awaitEvents(String key, Optional<String> end, long fromRevision, long waitMillis)
            throws InterruptedException {
        if (revision < fromRevision) {
            wait(waitMillis);
        }
        if (fromRevision <= compactedRevision) {
            return new Events(List.of(), compactedRevision + 1, compactedRevision + 1);
        }
        List<KvEntry> events = history.tailMap(fromRevision, true).values().stream()
                .flatMap(List::stream)
                .filter(event -> end.isEmpty()
                        ? event.key().equals(key)
                        : event.key().compareTo(key) >= 0 && event.key().compareTo(end.get()) < 0)
                .toList();
        return new Events(events, Math.max(fromRevision, revision + 1), 0);
    }
}
