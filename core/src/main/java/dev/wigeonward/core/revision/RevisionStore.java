package dev.wigeonward.core.revision;

import java.util.List;

/**
 * The store of revisions. Head and history are written in one transaction, so that every number up to head has its
 * entry. A method returns within the adapter's timeout and does not throw when the store fails.
 */
public interface RevisionStore {
    /** Returns the newest accepted revision. */
    HeadResult readHead();

    /**
     * Makes the revision the head and adds it to the history if head still has the expected number.
     *
     * @param expectedNumber number of the current head, 0 if there is none
     */
    WriteResult compareAndSwapHead(long expectedNumber, StoredRevision next);

    /**
     * Returns a page of the history, newest first.
     *
     * @param newestNumber highest number of the page; the store starts at head if it is higher
     * @param maxEntries at most so many entries
     */
    HistoryResult readHistory(long newestNumber, int maxEntries);

    /** Answer to reading head. */
    sealed interface HeadResult {
        /** Head exists. */
        record Found(StoredRevision head) implements HeadResult {}

        /** No revision was ever accepted. */
        record Empty() implements HeadResult {}

        /** The store did not answer. */
        record Unavailable(String cause) implements HeadResult {}
    }

    /** Answer to writing head. */
    sealed interface WriteResult {
        /** The write took effect: the revision is accepted. */
        record Applied() implements WriteResult {}

        /** Head has another number; nothing was written by this call. */
        record Conflict(StoredRevision current) implements WriteResult {}

        /** Head does not exist although a number was expected; nothing was written. */
        record HeadMissing() implements WriteResult {}

        /** No answer came; the write may have taken effect, or may still do so. */
        record Unavailable(String cause) implements WriteResult {}
    }

    /** Answer to reading the history. */
    sealed interface HistoryResult {
        /** Entries, newest first; fewer than asked for when the history ends. */
        record Page(List<StoredRevision> entries) implements HistoryResult {
            public Page {
                entries = List.copyOf(entries);
            }
        }

        /** The store did not answer. */
        record Unavailable(String cause) implements HistoryResult {}
    }
}
