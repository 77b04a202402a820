package dev.wigeonward.entry.command;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.UUID;

import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;

/** A revision store in memory that applies the {@link #faults}, in order, to the writes that follow. */
class InMemoryRevisionStore implements RevisionStore {
    /** A fault of one write. */
    enum Fault {
        NONE,
        /** The write takes effect, but the reply is lost. */
        REPLY_LOST,
        /** The reply is lost, and the write takes effect only just before the next write. */
        LATE,
        /** The write is lost. */
        WRITE_LOST
    }

    final Deque<Fault> faults = new ArrayDeque<>();
    final List<StoredRevision> history = new ArrayList<>();
    boolean readsFail;
    Runnable afterWrite = () -> {};
    private Runnable late = () -> {};

    /** Returns an environment whose commands reach this store and do not wait between attempts. */
    Environment environment() {
        return new Environment(
                (host, port) -> this,
                Clock.fixed(Instant.EPOCH, ZoneOffset.UTC),
                () -> UUID.randomUUID().toString(),
                millis -> {});
    }

    @Override
    public synchronized HeadResult readHead() {
        if (readsFail) {
            return new HeadResult.Unavailable("down");
        }
        return history.isEmpty() ? new HeadResult.Empty() : new HeadResult.Found(head());
    }

    @Override
    public synchronized WriteResult compareAndSwapHead(long expectedNumber, StoredRevision next) {
        late.run();
        late = () -> {};
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
        WriteResult result = new WriteResult.Unavailable("timeout");
        if (fault == Fault.LATE) {
            late = () -> write(expectedNumber, next);
        } else if (fault != Fault.WRITE_LOST) {
            result = write(expectedNumber, next);
        }
        afterWrite.run();
        return fault == Fault.NONE ? result : new WriteResult.Unavailable("timeout");
    }

    WriteResult write(long expectedNumber, StoredRevision next) {
        if (history.size() != expectedNumber) {
            return new WriteResult.Conflict(head());
        }
        history.add(next);
        return new WriteResult.Applied();
    }

    @Override
    public synchronized HistoryResult readHistory(long newestNumber, int maxEntries) {
        if (readsFail) {
            return new HistoryResult.Unavailable("down");
        }
        List<StoredRevision> page = new ArrayList<>();
        for (int index = (int) Math.min(newestNumber, history.size()) - 1;
                index >= 0 && page.size() < maxEntries;
                index--) {
            page.add(history.get(index));
        }
        return new HistoryResult.Page(page);
    }

    private StoredRevision head() {
        return history.get(history.size() - 1);
    }
}
