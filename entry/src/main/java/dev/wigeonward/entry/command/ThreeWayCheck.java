package dev.wigeonward.entry.command;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleDiff;

/** Compares an operator's text with its base revision and with the head that other operators wrote meanwhile. */
final class ThreeWayCheck {
    /** Maximum number of revisions that are compared; each may contain a text of 1 MB. */
    static final int MAX_REVISIONS = 10;

    private final RevisionStore store;

    ThreeWayCheck(RevisionStore store) {
        this.store = store;
    }

    /** Returns the report for an operator whose base revision is no longer the head. */
    CommandReport conflict(long baseNumber, String text, StoredRevision head) {
        long headNumber = head.revision().number();
        CommandReport report = CommandReport.of(
                        ExitCode.CONFLICT,
                        "conflict",
                        "the head is revision " + headNumber + ", expected " + baseNumber + "; nothing was written and"
                                + " your file is unchanged")
                .field("base", baseNumber)
                .field("head", headNumber)
                .revision(head);
        Optional<String> baseText = textOf(baseNumber);
        if (baseText.isEmpty()) {
            return report.line(
                    "revision " + baseNumber + " cannot be read, so its differences to the head are not shown");
        }
        RuleDiff theirs = RuleDiff.between(baseText.get(), head.revision().text());
        RuleDiff mine = RuleDiff.between(baseText.get(), text);
        List<RevisionChange> single = changesSince(baseNumber, headNumber);
        if (single.size() > 1) {
            report.othersChanges(single);
        }
        return report.changes("their_changes", "changed by others since revision " + baseNumber + ":", theirs)
                .changes("your_changes", "changed by you since revision " + baseNumber + ":", mine)
                .rules(
                        "overlap",
                        "changed by both:",
                        mine.commonIdentities(theirs).stream().sorted().toList())
                .line("merge the others' changes into your file, then apply it with --base " + headNumber);
    }

    /**
     * Returns the recent changes of other operators that the text reverts, which happens if it was edited from an older
     * revision. Examines the last {@link #MAX_REVISIONS} revisions.
     */
    List<RevisionChange> revertedChanges(String text, StoredRevision head, String operator) {
        long headNumber = head.revision().number();
        List<RevisionChange> reverted = new ArrayList<>();
        Map<String, RuleDiff.Change> fromHead =
                byIdentity(RuleDiff.between(head.revision().text(), text));
        if (fromHead.isEmpty()) {
            return reverted;
        }
        for (RevisionChange revision : changesSince(Math.max(0, headNumber - MAX_REVISIONS), headNumber)) {
            if (revision.stored().revision().appliedBy().equals(operator)) {
                continue;
            }
            List<RuleDiff.Change> revertedHere = revision.diff().changes().stream()
                    .filter(change -> isReverse(change, fromHead.get(change.identity())))
                    .toList();
            if (!revertedHere.isEmpty()) {
                reverted.add(new RevisionChange(revision.stored(), new RuleDiff(revertedHere)));
            }
        }
        return reverted;
    }

    private static Map<String, RuleDiff.Change> byIdentity(RuleDiff diff) {
        Map<String, RuleDiff.Change> result = new HashMap<>();
        diff.changes().forEach(change -> result.put(change.identity(), change));
        return result;
    }

    private static boolean isReverse(RuleDiff.Change theirs, RuleDiff.Change mine) {
        return mine != null
                && rule(theirs.before()).equals(rule(mine.after()))
                && rule(theirs.after()).equals(rule(mine.before()));
    }

    private static Optional<String> rule(Optional<RuleDiff.Line> line) {
        return line.map(found -> found.rule() + " # " + found.askedBy());
    }

    /**
     * Returns the changes of each revision after the base, oldest first; fewer if the history does not go back so far.
     */
    private List<RevisionChange> changesSince(long baseNumber, long headNumber) {
        int wanted = (int) Math.min(MAX_REVISIONS, headNumber - baseNumber);
        if (!(store.readHistory(headNumber, wanted + 1) instanceof RevisionStore.HistoryResult.Page page)) {
            return List.of();
        }
        List<RevisionChange> changes = new ArrayList<>();
        List<StoredRevision> entries = page.entries();
        for (int index = 0; index < Math.min(wanted, entries.size()); index++) {
            Revision revision = entries.get(index).revision();
            if (index + 1 < entries.size() || revision.number() == 1) {
                String before = revision.number() == 1
                        ? ""
                        : entries.get(index + 1).revision().text();
                changes.add(new RevisionChange(entries.get(index), RuleDiff.between(before, revision.text())));
            }
        }
        Collections.reverse(changes);
        return changes;
    }

    private Optional<String> textOf(long number) {
        return number == 0
                ? Optional.of("")
                : StoredRevisions.find(store, number)
                        .map(found -> found.revision().text());
    }
}
