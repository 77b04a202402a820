package dev.wigeonward.entry.command;

import java.util.Optional;

import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;

/** Reads single revisions from the history of a store. */
final class StoredRevisions {
    private StoredRevisions() {}

    /** Returns the revision with a number, or empty if it does not exist or the store does not answer. */
    static Optional<StoredRevision> find(RevisionStore store, long number) {
        return store.readHistory(number, 1) instanceof RevisionStore.HistoryResult.Page page
                ? page.entries().stream()
                        .filter(entry -> entry.revision().number() == number)
                        .findFirst()
                : Optional.empty();
    }
}
