package dev.wigeonward.core.rules;

import java.util.Comparator;

import com.google.common.base.Preconditions;

/**
 * One fault in a rules file.
 *
 * @param file name of the file, as the operator gave it
 * @param line line, counted from 1
 * @param column column in characters, counted from 1
 * @param wrong what is wrong
 * @param expected what would be accepted there
 */
public record RuleProblem(String file, int line, int column, String wrong, String expected) {
    static final Comparator<RuleProblem> BY_POSITION =
            Comparator.comparingInt(RuleProblem::line).thenComparingInt(RuleProblem::column);

    public RuleProblem {
        Preconditions.checkArgument(line > 0, "line is %s", line);
        Preconditions.checkArgument(column > 0, "column is %s", column);
    }

    /** Returns the problem in the form {@code file:line:column: what is wrong; expected …}. */
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + wrong + "; expected " + expected;
    }
}
