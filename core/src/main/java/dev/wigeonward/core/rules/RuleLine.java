package dev.wigeonward.core.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A line of a rules file, split into words and the closing comment. */
record RuleLine(int line, List<Word> words, Optional<Word> comment) {
    private static final Pattern WORD = Pattern.compile("\\S+");
    private static final Pattern COMMENT_START = Pattern.compile("(?<=\\s)#");

    /** A part of a line and the column of its first character, starting at 1. */
    record Word(String text, int column) {}

    RuleLine {
        words = List.copyOf(words);
    }

    /** Returns the lines of a text that contain rules; blank lines and whole-line comments are skipped. */
    static List<RuleLine> split(String text) {
        List<RuleLine> result = new ArrayList<>();
        String[] lines = text.split("\n", -1);
        for (int index = 0; index < lines.length; index++) {
            String line = lines[index].stripTrailing();
            if (!line.isBlank() && !line.stripLeading().startsWith("#")) {
                result.add(of(index + 1, line));
            }
        }
        return result;
    }

    private static RuleLine of(int number, String line) {
        Matcher start = COMMENT_START.matcher(line);
        boolean hasComment = start.find();
        int end = hasComment ? start.start() : line.length();
        List<Word> words = new ArrayList<>();
        Matcher matcher = WORD.matcher(line).region(0, end);
        while (matcher.find()) {
            words.add(new Word(matcher.group(), matcher.start() + 1));
        }
        return new RuleLine(
                number, words, hasComment ? Optional.of(new Word(line.substring(end), end + 1)) : Optional.empty());
    }

    /** Returns the column after the last word, at which a missing word is reported. */
    int endColumn() {
        Word last = words.get(words.size() - 1);
        return last.column() + last.text().length();
    }

    /** Returns the words joined by single spaces, without the comment. */
    String ruleText() {
        return String.join(" ", words.stream().map(Word::text).toList());
    }
}
