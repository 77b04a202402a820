package dev.wigeonward.core.revision;

import java.util.List;

/**
 * Persistent store of the accepted revisions. Head and history are written in one transaction, so that the history has
 * an entry for every number up to head. Each method returns within the adapter's timeout and reports a failure of the
 * store as a result instead of throwing.
 */
public interface RevisionStore {
    /** Returns the newest accepted revision. */
    HeadResult readHead();

    /**
     * Replaces head with the given revision and adds it to the history, if head still has the expected number.
     *
     * @param expectedNumber number that head must have, or 0 if head must not exist
     */
    WriteResult compareAndSwapHead(long expectedNumber, StoredRevision next);

    /**
     * Returns one page of the history, newest entry first.
     *
     * @param newestNumber highest number of the page; a number above head stands for head
     * @param maxEntries maximum number of entries returned
     */
    HistoryResult readHistory(long newestNumber, int maxEntries);

    /** Result of reading head. */
    sealed interface HeadResult {
        /** The revision at head. */
        record Found(StoredRevision head) implements HeadResult {}

        /** Head does not exist: no revision was accepted yet. */
        record Empty() implements HeadResult {}

        /** The store did not answer. */
        record Unavailable(String cause) implements HeadResult {}
    }

    /** Result of replacing head. */
    sealed interface WriteResult {
        /** The revision was written and is thereby accepted. */
        record Applied() implements WriteResult {}

        /** Head has a number other than the expected one; this call wrote nothing. */
        record Conflict(StoredRevision current) implements WriteResult {}

        /** Head does not exist although a number above 0 was expected; this call wrote nothing. */
        record HeadMissing() implements WriteResult {}

        /** The store did not answer; the write may have taken effect or may still take effect. */
        record Unavailable(String cause) implements WriteResult {}
    }

    /** Result of reading the history. */
    sealed interface HistoryResult {
        /** Entries, newest first; fewer than requested at the end of the history. */
        record Page(List<StoredRevision> entries) implements HistoryResult {
            public Page {
                entries = List.copyOf(entries);
            }
        }

        /** The store did not answer. */
        record Unavailable(String cause) implements HistoryResult {}
    }
}
