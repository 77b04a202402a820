package dev.wigeonward.core.rules;

import java.util.List;

import com.google.common.base.Preconditions;

/** Outcome of parsing a rules file. */
public sealed interface RuleParseResult {
    /** Every line is valid and the lines fit together. */
    record Valid(RuleSet rules) implements RuleParseResult {}

    /** All problems of the file, in the order of their lines; nothing of the file may be used. */
    record Invalid(List<RuleProblem> problems) implements RuleParseResult {
        public Invalid {
            problems = List.copyOf(problems);
            Preconditions.checkArgument(!problems.isEmpty(), "no problems");
        }
    }
}
