package dev.wigeonward.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Optional;

import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.core.rules.RuleDiff;

/** The read-only commands {@code check}, {@code diff} and {@code history}. */
final class ReadCommands {
    /** Limits the size of one answer; each entry may contain a text of 1 MB. */
    private static final int MAX_HISTORY_ENTRIES = 100;

    private ReadCommands() {}

    static CommandReport check(Options options, Environment environment) {
        if (RulesFile.read(options.requireFile()) instanceof RulesFile.Unusable unusable) {
            return unusable.report();
        }
        return CommandReport.of(ExitCode.OK, "valid", options.file + " is valid");
    }

    static CommandReport diff(Options.Diff options, Environment environment) {
        RulesFile file = RulesFile.read(options.requireFile());
        if (file instanceof RulesFile.Unusable unusable) {
            return unusable.report();
        }
        RevisionStore store = options.connect(environment);
        RevisionStore.HeadResult head = store.readHead();
        if (head instanceof RevisionStore.HeadResult.Unavailable unavailable) {
            return CommandReport.unavailable(unavailable.cause());
        }
        Optional<StoredRevision> newest =
                head instanceof RevisionStore.HeadResult.Found found ? Optional.of(found.head()) : Optional.empty();
        long baseNumber = options.base != null
                ? options.base
                : newest.map(found -> found.revision().number()).orElse(0L);
        Optional<String> baseText = baseNumber == 0
                ? Optional.of("")
                : newest.filter(found -> found.revision().number() == baseNumber)
                        .or(() -> StoredRevisions.find(store, baseNumber))
                        .map(found -> found.revision().text());
        if (baseText.isEmpty()) {
            return CommandReport.of(ExitCode.FAILED, "failed", "revision " + baseNumber + " cannot be read");
        }
        RuleDiff diff = RuleDiff.between(baseText.get(), ((RulesFile.Valid) file).text());
        return CommandReport.of(
                        ExitCode.OK,
                        diff.isEmpty() ? "same" : "different",
                        diff.changes().size() + " rule(s) differ")
                .field("base", baseNumber)
                .changes("changes", "from revision " + baseNumber + " to " + options.file + ":", diff);
    }

    static CommandReport history(Options.History options, Environment environment) {
        if (options.entries < 1 || options.entries > MAX_HISTORY_ENTRIES) {
            throw new UsageException("--entries is " + options.entries + ", expected 1 to " + MAX_HISTORY_ENTRIES);
        }
        RevisionStore.HistoryResult result = options.connect(environment).readHistory(options.from, options.entries);
        if (result instanceof RevisionStore.HistoryResult.Unavailable unavailable) {
            return CommandReport.unavailable(unavailable.cause());
        }
        RevisionStore.HistoryResult.Page page = (RevisionStore.HistoryResult.Page) result;
        return CommandReport.of(ExitCode.OK, "found", page.entries().size() + " revision(s), newest first")
                .history(page.entries(), hashOfFile(options));
    }

    /**
     * Returns the hash of the operator's file, whose rules need not be valid. Without a file, returns an empty text,
     * which is not the hash of any revision.
     */
    private static String hashOfFile(Options options) {
        if (options.file == null) {
            return "";
        }
        try {
            return Revision.hashOf(Files.readString(options.file));
        } catch (IOException e) {
            throw new UsageException("cannot read " + options.file + ": " + e, e);
        }
    }
}
