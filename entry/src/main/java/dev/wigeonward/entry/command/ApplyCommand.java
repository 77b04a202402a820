package dev.wigeonward.entry.command;

import java.util.List;

import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleDiff;

/** The {@code apply} command, which writes a rules text as the next revision if the head has not changed meanwhile. */
final class ApplyCommand {
    private final RevisionStore store;
    private final Environment environment;
    private final ThreeWayCheck threeWayCheck;

    ApplyCommand(RevisionStore store, Environment environment) {
        this.store = store;
        this.environment = environment;
        threeWayCheck = new ThreeWayCheck(store);
    }

    CommandReport apply(Options.Apply options) {
        RulesFile file = RulesFile.read(options.requireFile());
        if (file instanceof RulesFile.Unusable unusable) {
            return unusable.report();
        }
        String text = ((RulesFile.Valid) file).text();
        RevisionStore.HeadResult head = store.readHead();
        if (head instanceof RevisionStore.HeadResult.Unavailable unavailable) {
            return CommandReport.unavailable(unavailable.cause());
        }
        if (head instanceof RevisionStore.HeadResult.Found found) {
            return applyOver(found.head(), text, options, true);
        }
        if (options.base != null && options.base != 0) {
            return CommandReport.of(
                    ExitCode.FAILED, "failed", "the store has no revision, but --base is " + options.base);
        }
        return write(0, "", text, options);
    }

    /**
     * Writes the text as the successor of the head after checking the operator's base revision.
     *
     * @param checksReverts whether a text that reverts recent changes of other operators requires an explicit base
     */
    CommandReport applyOver(StoredRevision head, String text, Options.Apply options, boolean checksReverts) {
        long headNumber = head.revision().number();
        if (options.base != null && options.base > headNumber) {
            return CommandReport.of(
                    ExitCode.FAILED,
                    "failed",
                    "--base is " + options.base + ", but the newest revision is " + headNumber
                            + "; nothing was changed");
        }
        if (options.base != null && options.base < headNumber) {
            return threeWayCheck.conflict(options.base, text, head);
        }
        if (head.revision().text().equals(text)) {
            return CommandReport.of(ExitCode.OK, "unchanged", "revision " + headNumber + " already has this text")
                    .revision(head);
        }
        if (checksReverts && options.base == null) {
            List<RevisionChange> reverted = threeWayCheck.revertedChanges(text, head, options.by);
            if (!reverted.isEmpty()) {
                return CommandReport.of(
                                ExitCode.CONFLICT,
                                "conflict",
                                "the file reverts changes of other operators; nothing was written")
                        .field("head", headNumber)
                        .othersChanges(reverted)
                        .line("merge them into your file, or pass --base " + headNumber + " to revert them");
            }
        }
        return write(headNumber, head.revision().text(), text, options);
    }

    private CommandReport write(long baseNumber, String baseText, String text, Options.Apply options) {
        Revision next = Revision.of(baseNumber + 1, text, options.by, options.reason);
        RevisionWriter.Outcome outcome = new RevisionWriter(store, environment).write(next);
        if (outcome instanceof RevisionWriter.Outcome.Accepted accepted) {
            return CommandReport.of(
                            ExitCode.OK,
                            "accepted",
                            "revision " + next.number() + " (" + CommandReport.shortHash(next) + ") is accepted")
                    .revision(accepted.stored())
                    .changes("changes", "changed since revision " + baseNumber + ":", RuleDiff.between(baseText, text));
        }
        if (outcome instanceof RevisionWriter.Outcome.Conflict conflict) {
            return threeWayCheck.conflict(baseNumber, text, conflict.current());
        }
        if (outcome instanceof RevisionWriter.Outcome.Unknown unknown) {
            return CommandReport.of(
                            ExitCode.FAILED,
                            "unknown",
                            "it is unknown whether revision " + next.number() + " was written: " + unknown.cause())
                    .revision(unknown.stored())
                    .line("before you apply again, search the history for apply id "
                            + unknown.stored().applyId());
        }
        return CommandReport.of(
                ExitCode.FAILED,
                "failed",
                "the store no longer has a head revision, but revision " + baseNumber
                        + " was read; nothing was changed");
    }
}
