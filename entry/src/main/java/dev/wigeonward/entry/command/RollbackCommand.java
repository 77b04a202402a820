package dev.wigeonward.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;

/** Makes the text of an old revision the next revision. */
final class RollbackCommand {
    private final RevisionStore store;
    private final Environment environment;

    RollbackCommand(RevisionStore store, Environment environment) {
        this.store = store;
        this.environment = environment;
    }

    CommandReport rollback(Options.Rollback options) {
        RevisionStore.HeadResult result = store.readHead();
        if (result instanceof RevisionStore.HeadResult.Unavailable unavailable) {
            return CommandReport.unavailable(unavailable.cause());
        }
        if (!(result instanceof RevisionStore.HeadResult.Found found)) {
            return CommandReport.of(ExitCode.FAILED, "failed", "the store has no revision to roll back to");
        }
        Optional<StoredRevision> target = StoredRevisions.find(store, options.to);
        if (target.isEmpty()) {
            return CommandReport.of(
                    ExitCode.FAILED, "failed", "revision " + options.to + " cannot be read; nothing was changed");
        }
        String text = target.get().revision().text();
        String name = "revision-" + options.to;
        if (!target.get().revision().verifies()) {
            return CommandReport.of(
                    ExitCode.FAILED,
                    "failed",
                    name + " does not have the hash it was stored with; nothing was changed");
        }
        if (RuleParser.parse(name, text) instanceof RuleParseResult.Invalid invalid) {
            return CommandReport.invalid(name, invalid.problems());
        }
        options.reason = "rollback to revision " + options.to + ": " + options.reason;
        CommandReport report = new ApplyCommand(store, environment).applyOver(found.head(), text, options, false);
        if (report.exitCode() == ExitCode.OK && options.file != null) {
            updateFile(options.file, found.head().revision().text(), text, report);
        }
        return report;
    }

    /** Brings the operator's file up to date, but never overwrites changes that were not applied yet. */
    private static void updateFile(Path file, String headText, String text, CommandReport report) {
        try {
            String fileText = Files.readString(file);
            if (fileText.equals(text)) {
                return;
            }
            if (!fileText.equals(headText)) {
                report.line(file + " has changes of its own and was left as it is")
                        .field("file", "kept");
                return;
            }
            RulesFile.replace(file, text);
            report.line(file + " has the text of the new revision").field("file", "replaced");
        } catch (IOException e) {
            report.line(file + " was not brought up to date: " + e).field("file", "kept");
        }
    }
}
