package dev.wigeonward.core.rules;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RuleDiffTest {
    private static final String BEFORE =
            """
            workspace a weight=1 tiers=batch # asked by Ana: start
            workspace b weight=1 tiers=batch # asked by Ana: start
            """;

    /** Guards against a change that is missing from the difference or listed without the person who requested it. */
    @Test
    void listsAddedRemovedAndChangedRulesWithRequester() {
        String after =
                """
                # moved
                workspace c weight=2 tiers=batch # asked by Bo: new team
                workspace b weight=3   tiers=batch # asked by Bo: grows
                """;
        assertThat(RuleDiff.between(BEFORE, after).changes())
                .extracting(change -> change.kind() + " " + change.identity() + " "
                        + change.after().or(change::before).orElseThrow().askedBy())
                .containsExactlyInAnyOrder(
                        "REMOVED workspace a Ana: start",
                        "CHANGED workspace b Bo: grows",
                        "ADDED workspace c Bo: new team");
    }

    /**
     * Guards against reported changes for edits without effect: white space, the order of lines, whole-line comments.
     */
    @Test
    void ignoresBlanksOrderAndWholeLineComments() {
        String after =
                """
                workspace b  weight=1 tiers=batch   # asked by Ana: start

                # a comment
                workspace a weight=1 tiers=batch # asked by Ana: start
                """;
        assertThat(RuleDiff.between(BEFORE, after).isEmpty()).isTrue();
    }

    /** Guards against conflicting changes by two operators to the same rule that are not detected as an overlap. */
    @Test
    void findsRulesChangedByBoth() {
        RuleDiff mine = RuleDiff.between(BEFORE, BEFORE.replace("workspace a weight=1", "workspace a weight=2"));
        RuleDiff theirs = RuleDiff.between(BEFORE, BEFORE.replace("weight=1", "weight=9"));
        assertThat(mine.commonIdentities(theirs)).containsExactly("workspace a");
    }
}
