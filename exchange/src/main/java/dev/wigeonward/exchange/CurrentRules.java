package dev.wigeonward.exchange;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;

import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;
import dev.wigeonward.core.rules.RuleSet;

/** Holder of the rules of the revision in force; the decision thread writes it and any thread may read it. */
public final class CurrentRules implements WorkspaceWeights {
    private static final Logger LOG = System.getLogger(CurrentRules.class.getName());

    private volatile RuleSet rules;

    /** Returns the rules in force, or empty before the first revision was adopted. */
    public Optional<RuleSet> current() {
        return Optional.ofNullable(rules);
    }

    /** Replaces the rules by those of a revision; a revision that does not parse leaves the earlier rules in force. */
    public void adopt(Revision revision) {
        RuleParseResult result = RuleParser.parse("revision " + revision.number(), revision.text());
        if (result instanceof RuleParseResult.Invalid invalid) {
            LOG.log(
                    Level.ERROR,
                    "revision {0} was not adopted: this version of the program cannot parse its rules: {1}",
                    revision.number(),
                    invalid.problems());
            return;
        }
        rules = ((RuleParseResult.Valid) result).rules();
    }

    @Override
    public int weight(String workspace) {
        RuleSet current = rules;
        return current == null
                ? 1
                : current.workspace(workspace).map(Rule.Workspace::weight).orElse(1);
    }
}
