package dev.wigeonward.core.rules;

import java.util.Comparator;

import com.google.common.base.Preconditions;

/**
 * A problem at a position in a rules file.
 *
 * @param file name of the file, as given by the operator
 * @param line line number, starting at 1
 * @param column column in characters, starting at 1
 * @param description what is wrong
 * @param expected what is accepted at this position
 */
public record RuleProblem(String file, int line, int column, String description, String expected) {
    static final Comparator<RuleProblem> BY_POSITION =
            Comparator.comparingInt(RuleProblem::line).thenComparingInt(RuleProblem::column);

    public RuleProblem {
        Preconditions.checkArgument(line > 0, "line number must be positive, got %s", line);
        Preconditions.checkArgument(column > 0, "column must be positive, got %s", column);
    }

    /** Returns the problem as {@code <file>:<line>:<column>: <description>; expected <expected>}. */
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + description + "; expected " + expected;
    }
}
