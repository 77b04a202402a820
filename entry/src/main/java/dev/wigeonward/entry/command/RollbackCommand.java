package dev.wigeonward.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;

/** The {@code rollback} command, which writes the text of an old revision as the next revision. */
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
            return CommandReport.of(
                    ExitCode.FAILED, "failed", "the store has no revision to roll back; nothing was changed");
        }
        Optional<StoredRevision> target = StoredRevisions.find(store, options.to);
        if (target.isEmpty()) {
            return CommandReport.of(
                    ExitCode.FAILED, "failed", "revision " + options.to + " cannot be read; nothing was changed");
        }
        String text = target.get().revision().text();
        String name = "revision-" + options.to;
        if (!target.get().revision().hashMatchesText()) {
            return CommandReport.of(
                    ExitCode.FAILED, "failed", name + " does not match its stored hash; nothing was changed");
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

    /** Replaces the operator's file by the text of the new revision, unless it has changes that were never applied. */
    private static void updateFile(Path file, String headText, String text, CommandReport report) {
        try {
            String fileText = Files.readString(file);
            if (fileText.equals(text)) {
                return;
            }
            if (!fileText.equals(headText)) {
                report.line(file + " has changes that were not applied and was not replaced")
                        .field("file", "kept");
                return;
            }
            RulesFile.replace(file, text);
            report.line(file + " was replaced by the text of the new revision").field("file", "replaced");
        } catch (IOException e) {
            report.line(file + " could not be replaced by the text of the new revision: " + e)
                    .field("file", "kept");
        }
    }
}
