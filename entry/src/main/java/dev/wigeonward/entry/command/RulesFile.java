package dev.wigeonward.entry.command;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;

/** The result of reading and checking an operator's rules file. */
sealed interface RulesFile {
    /** The file contains valid rules. */
    record Valid(String text) implements RulesFile {}

    /** The byte order mark that some editors write at the start of a text file. */
    String BYTE_ORDER_MARK = "\uFEFF";

    /** The file cannot be read or is invalid; the report says why. */
    record Unusable(CommandReport report) implements RulesFile {}

    /** Reads a file and returns its text without byte order mark, or a report of its problems. */
    static RulesFile read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (CharacterCodingException e) {
            return new Unusable(CommandReport.of(ExitCode.FAILED, "unreadable", path + " is not valid UTF-8 text"));
        } catch (IOException e) {
            return new Unusable(CommandReport.of(ExitCode.FAILED, "unreadable", "cannot read " + path + ": " + e));
        }
        text = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        return RuleParser.parse(path.toString(), text) instanceof RuleParseResult.Invalid invalid
                ? new Unusable(CommandReport.invalid(path.toString(), invalid.problems()))
                : new Valid(text);
    }

    /** Replaces the file atomically, so that a failure leaves the old text. */
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
