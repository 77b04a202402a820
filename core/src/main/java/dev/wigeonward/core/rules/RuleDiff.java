package dev.wigeonward.core.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The rules that two texts do not share, line by line. A rule whose keyword and name stay is changed; a change of its
 * comment counts, a change of blanks or of the order of lines does not.
 */
public record RuleDiff(List<Change> changes) {
    private static final Pattern ASKED_BY = Pattern.compile("^#\\s*asked by\\s*");
    private static final Set<String> IDENTIFIED_BY_WHOLE_RULE = Set.of("key", "no-repeat");

    /** What happened to a rule. */
    public enum ChangeKind {
        ADDED,
        REMOVED,
        CHANGED
    }

    /**
     * One rule that differs.
     *
     * @param identity keyword and name, with all pairs where a name may have several rules
     * @param before line before the change, if there was one
     * @param after line after the change, if there is one
     */
    public record Change(ChangeKind kind, String identity, Optional<Line> before, Optional<Line> after) {}

    /**
     * A line of one of the texts.
     *
     * @param number line number, counted from 1
     * @param askedBy who asked for the rule, with the reason; empty if the line does not say
     */
    public record Line(int number, String rule, String askedBy) {
        private static Line of(RuleLine line) {
            String comment = line.comment().map(RuleLine.Word::text).orElse("");
            return new Line(
                    line.line(), line.ruleText(), ASKED_BY.matcher(comment).replaceFirst(""));
        }

        private boolean sameText(Line other) {
            return rule.equals(other.rule) && askedBy.equals(other.askedBy);
        }
    }

    public RuleDiff {
        changes = List.copyOf(changes);
    }

    /** Returns what leads from one text to the other; the texts need not be valid. */
    public static RuleDiff between(String before, String after) {
        Map<String, Line> oldLines = linesByIdentity(before);
        Map<String, Line> newLines = linesByIdentity(after);
        List<Change> changes = new ArrayList<>();
        oldLines.forEach((identity, line) -> {
            Line successor = newLines.get(identity);
            if (successor == null) {
                changes.add(new Change(ChangeKind.REMOVED, identity, Optional.of(line), Optional.empty()));
            } else if (!successor.sameText(line)) {
                changes.add(new Change(ChangeKind.CHANGED, identity, Optional.of(line), Optional.of(successor)));
            }
        });
        newLines.forEach((identity, line) -> {
            if (!oldLines.containsKey(identity)) {
                changes.add(new Change(ChangeKind.ADDED, identity, Optional.empty(), Optional.of(line)));
            }
        });
        return new RuleDiff(changes);
    }

    private static Map<String, Line> linesByIdentity(String text) {
        Map<String, Line> result = new LinkedHashMap<>();
        for (RuleLine line : RuleLine.split(text)) {
            String identity = identity(line);
            // Invalid texts may hold a rule twice; the copies are told apart by their count.
            for (int copy = 2; result.containsKey(identity); copy++) {
                identity = identity(line) + " (" + copy + ")";
            }
            result.put(identity, Line.of(line));
        }
        return result;
    }

    private static String identity(RuleLine line) {
        String keyword = line.words().get(0).text();
        if (IDENTIFIED_BY_WHOLE_RULE.contains(keyword)) {
            return line.ruleText();
        }
        return line.words().stream().limit(2).map(RuleLine.Word::text).collect(Collectors.joining(" "));
    }

    /** Returns the rules that both this and the other difference touch. */
    public Set<String> overlap(RuleDiff other) {
        Set<String> mine = changes.stream().map(Change::identity).collect(Collectors.toSet());
        return other.changes.stream()
                .map(Change::identity)
                .filter(mine::contains)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether both texts have the same rules. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }
}
