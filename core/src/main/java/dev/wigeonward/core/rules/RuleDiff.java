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
 * Difference between two rules texts, rule by rule. Rules with the same keyword and name are compared: a different
 * comment is a change, different white space or a different order of lines is not.
 */
public record RuleDiff(List<Change> changes) {
    private static final Pattern ASKED_BY = Pattern.compile("^#\\s*asked by\\s*");
    private static final Set<String> IDENTIFIED_BY_WHOLE_RULE = Set.of("key", "no-repeat");

    /** Kind of a change to a rule. */
    public enum ChangeKind {
        ADDED,
        REMOVED,
        CHANGED
    }

    /**
     * A rule that was added, removed or changed.
     *
     * @param identity keyword and name; the whole rule for keywords that allow several rules with one name
     * @param before line before the change, empty for an added rule
     * @param after line after the change, empty for a removed rule
     */
    public record Change(ChangeKind kind, String identity, Optional<Line> before, Optional<Line> after) {}

    /**
     * A line of one of the two texts.
     *
     * @param number line number, starting at 1
     * @param askedBy who requested the rule and why; empty if the line has no comment
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

    /** Returns the changes from one text to the other; the texts need not be valid rules. */
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

    /** Returns the lines by identity; repeated identities get a number, since invalid texts may contain them. */
    private static Map<String, Line> linesByIdentity(String text) {
        Map<String, Line> result = new LinkedHashMap<>();
        for (RuleLine line : RuleLine.split(text)) {
            String identity = identity(line);
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

    /** Returns the identities of the rules that are changed by both this and the other difference. */
    public Set<String> commonIdentities(RuleDiff other) {
        Set<String> changedHere = changes.stream().map(Change::identity).collect(Collectors.toSet());
        return other.changes.stream()
                .map(Change::identity)
                .filter(changedHere::contains)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether both texts contain the same rules. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }
}
