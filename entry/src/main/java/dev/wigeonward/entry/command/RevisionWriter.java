package dev.wigeonward.entry.command;

import java.util.Optional;

import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;

/** Writes a revision and determines from the head and the history whether it was accepted if a reply is lost. */
final class RevisionWriter {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_PAUSE_MILLIS = 200;

    private final RevisionStore store;
    private final Environment environment;

    /** The outcome of a write. */
    sealed interface Outcome {
        /** The revision was accepted. Later revisions may already exist. */
        record Accepted(StoredRevision stored) implements Outcome {}

        /** Another revision was accepted with this number, so this one can no longer be accepted. */
        record Conflict(StoredRevision current) implements Outcome {}

        /** The store has no head, although one was read before. */
        record HeadMissing() implements Outcome {}

        /** The store gave no definite answer. The write may have taken effect or may still take effect. */
        record Unknown(StoredRevision stored, String cause) implements Outcome {}
    }

    RevisionWriter(RevisionStore store, Environment environment) {
        this.store = store;
        this.environment = environment;
    }

    /**
     * Writes the revision as the successor of its predecessor and returns the outcome. All attempts have the same apply
     * id and the same expected number, so that at most one of them takes effect.
     */
    Outcome write(Revision next) {
        StoredRevision stored = new StoredRevision(
                next, environment.applyIds().get(), environment.clock().millis());
        String cause = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (attempt > 0) {
                environment.pause().accept(RETRY_PAUSE_MILLIS << attempt);
            }
            RevisionStore.WriteResult result = store.compareAndSwapHead(next.number() - 1, stored);
            if (result instanceof RevisionStore.WriteResult.Applied) {
                return new Outcome.Accepted(stored);
            }
            if (result instanceof RevisionStore.WriteResult.HeadMissing) {
                return new Outcome.HeadMissing();
            }
            if (result instanceof RevisionStore.WriteResult.Unavailable unavailable) {
                cause = unavailable.cause();
            }
            Optional<StoredRevision> head = result instanceof RevisionStore.WriteResult.Conflict conflict
                    ? Optional.of(conflict.current())
                    : readHead();
            Optional<Outcome> outcome = head.flatMap(found -> outcomeFromHead(found, stored));
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return new Outcome.Unknown(stored, cause);
    }

    private Optional<StoredRevision> readHead() {
        return store.readHead() instanceof RevisionStore.HeadResult.Found found
                ? Optional.of(found.head())
                : Optional.empty();
    }

    /** Returns the outcome that the head proves, or empty if the write may still take effect or nothing is known. */
    private Optional<Outcome> outcomeFromHead(StoredRevision head, StoredRevision written) {
        long number = written.revision().number();
        if (head.revision().number() < number) {
            return Optional.empty();
        }
        if (head.revision().number() == number) {
            return Optional.of(
                    head.applyId().equals(written.applyId())
                            ? new Outcome.Accepted(written)
                            : new Outcome.Conflict(head));
        }
        if (!(store.readHistory(number, 1) instanceof RevisionStore.HistoryResult.Page page)
                || page.entries().isEmpty()
                || page.entries().get(0).revision().number() != number) {
            return Optional.empty();
        }
        return Optional.of(
                page.entries().get(0).applyId().equals(written.applyId())
                        ? new Outcome.Accepted(written)
                        : new Outcome.Conflict(head));
    }
}
