package dev.wigeonward.core.rules;

import java.util.List;

import com.google.common.base.Preconditions;

/** Result of parsing a rules file. */
public sealed interface RuleParseResult {
    /** All lines are valid and consistent with each other. */
    record Valid(RuleSet rules) implements RuleParseResult {}

    /** The file has at least one problem, so that none of its rules may be used; problems are sorted by position. */
    record Invalid(List<RuleProblem> problems) implements RuleParseResult {
        public Invalid {
            problems = List.copyOf(problems);
            Preconditions.checkArgument(!problems.isEmpty(), "problems of an invalid file must not be empty");
        }
    }
}
