package dev.wigeonward.entry.command;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;

/** The operator's rules file. */
sealed interface RulesFile {
    /** The file holds valid rules. */
    record Valid(String text) implements RulesFile {}

    /** Mark that some editors put before a text. */
    String BYTE_ORDER_MARK = "\uFEFF";

    /** The file cannot be used. */
    record Unusable(CommandReport report) implements RulesFile {}

    /** Returns the text of a valid file, or a report of what is wrong with it. */
    static RulesFile read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (CharacterCodingException e) {
            return new Unusable(CommandReport.of(ExitCode.FAILED, "unreadable", path + " is not UTF-8 text"));
        } catch (IOException e) {
            return new Unusable(CommandReport.of(ExitCode.FAILED, "unreadable", path + " cannot be read: " + e));
        }
        text = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        return RuleParser.parse(path.toString(), text) instanceof RuleParseResult.Invalid invalid
                ? new Unusable(CommandReport.invalid(path.toString(), invalid.problems()))
                : new Valid(text);
    }

    /** Replaces the file in one step, so that a failure leaves the old text. */
    static void replace(Path path, String text) throws IOException {
        Path directory = path.toAbsolutePath().getParent();
        Path temporary = Files.createTempFile(directory, path.getFileName().toString(), ".new");
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }
}
