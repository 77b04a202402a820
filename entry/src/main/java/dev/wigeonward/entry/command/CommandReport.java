package dev.wigeonward.entry.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleDiff;
import dev.wigeonward.core.rules.RuleProblem;

/** The result of a command, as a JSON object and as lines of text. */
final class CommandReport {
    private static final int SHORT_HASH_DIGITS = 12;

    private final ExitCode exitCode;
    private final ObjectNode json = JsonNodeFactory.instance.objectNode();
    private final List<String> lines = new ArrayList<>();

    private CommandReport(ExitCode exitCode, String outcome, String message) {
        this.exitCode = exitCode;
        json.put("outcome", outcome);
        json.put("exit_code", exitCode.value());
        json.put("message", message);
        lines.add(message);
    }

    static CommandReport of(ExitCode exitCode, String outcome, String message) {
        return new CommandReport(exitCode, outcome, message);
    }

    static CommandReport unavailable(String cause) {
        return of(ExitCode.FAILED, "unavailable", "the store did not answer, nothing was changed: " + cause);
    }

    static CommandReport invalid(String file, List<RuleProblem> problems) {
        CommandReport report =
                of(ExitCode.FAILED, "invalid", file + " has " + problems.size() + " problem(s), nothing was changed");
        ArrayNode array = report.json.putArray("problems");
        for (RuleProblem problem : problems) {
            array.addObject()
                    .put("file", problem.file())
                    .put("line", problem.line())
                    .put("column", problem.column())
                    .put("wrong", problem.description())
                    .put("expected", problem.expected());
            report.lines.add(problem.toString());
        }
        return report;
    }

    CommandReport field(String name, long value) {
        json.put(name, value);
        return this;
    }

    CommandReport field(String name, String value) {
        json.put(name, value);
        return this;
    }

    CommandReport line(String text) {
        lines.add(text);
        return this;
    }

    CommandReport revision(StoredRevision stored) {
        json.set("revision", describe(stored));
        return this;
    }

    /** Adds the changed rules, under a name in JSON and under a title in text. */
    CommandReport changes(String name, String title, RuleDiff diff) {
        json.set(name, describe(diff));
        addChangeLines(title, diff);
        return this;
    }

    /** Adds the changes of other operators, revision by revision. */
    CommandReport othersChanges(List<RevisionChange> revisions) {
        ArrayNode array = json.putArray("others");
        for (RevisionChange change : revisions) {
            ObjectNode node = describe(change.stored());
            node.set("changes", describe(change.diff()));
            array.add(node);
            Revision revision = change.stored().revision();
            addChangeLines(
                    "revision " + revision.number() + " by " + revision.appliedBy() + " (" + revision.reason() + "):",
                    change.diff());
        }
        return this;
    }

    CommandReport rules(String name, String title, List<String> identities) {
        ArrayNode array = json.putArray(name);
        identities.forEach(array::add);
        if (!identities.isEmpty()) {
            lines.add(title + " " + String.join(", ", identities));
        }
        return this;
    }

    /** Adds a table of revisions in the given order and marks those with the hash of the operator's file. */
    CommandReport history(List<StoredRevision> entries, String fileHash) {
        ArrayNode array = json.putArray("revisions");
        TextTable table = TextTable.withColumns("number", "applied at", "by", "hash", "reason");
        for (StoredRevision stored : entries) {
            Revision revision = stored.revision();
            boolean isFile = revision.hash().equals(fileHash);
            array.add(describe(stored).put("same_as_file", isFile));
            table.addRow(
                    revision.number() + (isFile ? " *" : ""),
                    Instant.ofEpochMilli(stored.appliedAtEpochMillis()).toString(),
                    revision.appliedBy(),
                    shortHash(revision),
                    revision.reason());
        }
        lines.addAll(table.lines());
        return this;
    }

    private void addChangeLines(String title, RuleDiff diff) {
        lines.add(title);
        if (diff.isEmpty()) {
            lines.add("  no rule differs");
        }
        for (RuleDiff.Change change : diff.changes()) {
            change.before().ifPresent(line -> lines.add(toChangeLine("- ", line)));
            change.after().ifPresent(line -> lines.add(toChangeLine("+ ", line)));
        }
    }

    private static String toChangeLine(String sign, RuleDiff.Line line) {
        return "  " + sign + line.rule() + " # asked by " + line.askedBy();
    }

    private static ArrayNode describe(RuleDiff diff) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        for (RuleDiff.Change change : diff.changes()) {
            ObjectNode node = array.addObject();
            node.put("kind", change.kind().name().toLowerCase(Locale.ROOT));
            node.put("rule", change.identity());
            change.before().ifPresent(line -> node.set("before", describe(line)));
            change.after().ifPresent(line -> node.set("after", describe(line)));
        }
        return array;
    }

    private static ObjectNode describe(RuleDiff.Line line) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("line", line.number())
                .put("text", line.rule())
                .put("asked_by", line.askedBy());
    }

    private static ObjectNode describe(StoredRevision stored) {
        Revision revision = stored.revision();
        return JsonNodeFactory.instance
                .objectNode()
                .put("number", revision.number())
                .put("hash", revision.hash())
                .put("applied_by", revision.appliedBy())
                .put("reason", revision.reason())
                .put(
                        "applied_at",
                        Instant.ofEpochMilli(stored.appliedAtEpochMillis()).toString())
                .put("apply_id", stored.applyId());
    }

    static String shortHash(Revision revision) {
        return revision.hash()
                .substring(0, Math.min(SHORT_HASH_DIGITS, revision.hash().length()));
    }

    ExitCode exitCode() {
        return exitCode;
    }

    ObjectNode json() {
        return json;
    }

    List<String> lines() {
        return lines;
    }
}
