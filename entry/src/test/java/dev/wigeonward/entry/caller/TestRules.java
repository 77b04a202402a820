package dev.wigeonward.entry.caller;

import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;
import dev.wigeonward.core.rules.RuleSet;

/** Rules of one workspace with the key {@code kopsu-demo-rescue}, for tests of the callers' service. */
final class TestRules {
    private static final String KEY_HASH = "d995687c458a4f755662c9e1c9e9bfbc4f46e2848e4bb8f4a91ec1432a9df295";
    private static final String RULES =
            """
            workspace rescue weight=1 tiers=critical # asked by test: one workspace
            key rescue sha256=%s # asked by test: its key
            model advisory version=v1 # asked by test: a model
            kind note target=advisory tier=critical deadline=5s output=60 # asked by test: notes
            """
                    .formatted(KEY_HASH);

    private TestRules() {}

    /** Returns the rules with further lines. */
    static RuleSet withLines(String lines) {
        return ((RuleParseResult.Valid) RuleParser.parse("test", RULES + lines)).rules();
    }
}
