package dev.wigeonward.core.rules;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RuleParserTest {
    private static final String COMMENT = " # asked by Ana: test\n";
    private static final String HASH = "ab".repeat(32);
    private static final String BASE = "workspace w weight=1 tiers=standard" + COMMENT + "model m version=v1" + COMMENT;

    /**
     * Guards against a mistake that is accepted, or reported with a wrong position, a wrong cause or no expectation.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            quota x | 1 | unknown rule 'quota'; expected one of commitment, key
            workspace w2 weight=0 tiers=batch | 21 | '0' does not fit 'weight'; expected a number from 1
            workspace w2 tiers=batch | 25 | 'weight' is missing
            workspace w2 weight=1 tiers=batch,urgent | 29 | 'batch,urgent' does not fit 'tiers'
            workspace w2 weight=1 tiers=batch size=3 | 35 | unknown key 'size'; expected one of tiers, weight
            workspace w2 weight=1 weight=2 tiers=batch | 23 | key 'weight' is given twice
            workspace w2 weight=1 tiers=batch loose | 35 | 'loose' is not a key=value pair
            workspace w weight=1 tiers=batch | 11 | duplicate of line 1
            service m path=/m | 9 | duplicate of line 2
            key w sha256=secret | 14 | the value of 'sha256' is not a SHA-256 hash
            rate w2 requests=5/s | 6 | unknown workspace 'w2'; expected a workspace
            rate w requests=5 | 17 | '5' does not fit 'requests'; expected a rate
            rate w | 7 | the rate has no bound
            kind k tier=standard deadline=1s output=5 | 42 | 'target' is missing
            kind k target=x tier=standard deadline=1s output=5 | 15 | unknown target 'x'; expected a model or service
            kind k target=m tier=batch deadline=1s output=5 | 22 | no workspace may use tier 'batch'
            kind k target=m tier=standard deadline=90 output=5 | 40 | '90' does not fit 'deadline'; expected a duration
            limit body bytes=65MiB | 18 | '65MiB' does not fit 'bytes'
            limit queue length=0 | 20 | '0' does not fit 'length'
            limit files length=4 | 7 | unknown limit 'files'; expected body, header or queue
            price x per-1000-tokens=0.5 | 7 | unknown model 'x'
            move x from=v1 to=v2 by=2027-01-01T00:00:00Z canary=2% | 6 | unknown model 'x'
            move m from=v0 to=v2 by=2027-01-01T00:00:00Z canary=2% | 13 | the move starts from 'v0' but line 2 has
            move m from=v1 to=v1 by=2027-01-01T00:00:00Z canary=2% | 19 | the move ends at the version it starts from
            move m from=v1 to=v2 by=2027-01-01T00:00:00Z canary=3% | 53 | '3%' does not fit 'canary'
            move m from=v1 to=v2 by=tomorrow canary=2% | 25 | 'tomorrow' does not fit 'by'; expected an instant
            upstream u-1 | 13 | 'fencing' is missing
            """)
    void reportsProblemAtItsPosition(String line, int column, String message) {
        assertThat(problems(BASE + line + COMMENT)).singleElement().satisfies(problem -> {
            assertThat(problem.toString()).startsWith("test.rules:3:" + column + ": " + message);
            assertThat(problem.toString()).contains("; expected ");
        });
    }

    /** Guards against a parser that stops at the first problem of a line. */
    @Test
    void reportsAllMissingFieldsOfLine() {
        assertThat(problems("workspace" + COMMENT))
                .extracting(RuleProblem::description)
                .containsExactly("the name is missing", "'weight' is missing", "'tiers' is missing");
    }

    /** Guards against accepted rules whose comment does not say who requested them and why. */
    @ParameterizedTest
    @CsvSource({
        "''",
        "' # faster'",
        "' # asked by Ana'",
        "' # asked by : why'",
        "' # asked by Ana:'",
        "'# asked by Ana: x'"
    })
    void rejectsLineWithoutRequesterAndReason(String comment) {
        assertThat(problems("model m version=v1" + comment)).isNotEmpty();
    }

    /**
     * Guards against a workspace key in clear text, put by mistake in any place of a key line, that appears in an error
     * message and thereby on a terminal or in a log.
     */
    @ParameterizedTest
    @CsvSource({"key w sha256=s3cret", "key w s3cret", "key w s3cret=", "key s3cret sha256=1", "key w s3cret=1 s3cret=2"
    })
    void messagesNeverContainKeyInClearText(String line) {
        assertThat(problems(BASE + line + COMMENT)).isNotEmpty().noneMatch(problem -> problem.toString()
                .contains("s3cret"));
        String misplaced = "key s3cret sha256=" + HASH + COMMENT;
        assertThat(problems(BASE + misplaced + misplaced))
                .noneMatch(problem -> problem.toString().contains("s3cret"));
    }

    /** Guards against one key for two workspaces, also when its hash is written in upper case the second time. */
    @Test
    void rejectsOneKeyForTwoWorkspaces() {
        String text = BASE + "workspace v weight=1 tiers=batch" + COMMENT + "key v sha256=" + HASH + COMMENT
                + "key w sha256=" + HASH.toUpperCase(java.util.Locale.ROOT) + COMMENT;
        assertThat(problems(text)).singleElement().matches(problem -> problem.line() == 5);
    }

    /** Guards against an accepted kind that never applies, because an earlier one matches all its requests. */
    @Test
    void rejectsKindThatNeverApplies() {
        String rest = " tier=standard deadline=1s output=5" + COMMENT;
        String text = BASE + "kind wide target=m max-output=100" + rest + "kind narrow target=m max-output=50" + rest;
        assertThat(problems(text)).singleElement().matches(problem -> problem.description()
                .contains("line 3 matches all"));
    }

    /** Guards against a parser that stops at the first invalid line, so that operators find one problem per attempt. */
    @Property(tries = 100)
    void reportsEveryInvalidLine(@ForAll @IntRange(min = 1, max = 50) int invalidLines) {
        StringBuilder text = new StringBuilder(BASE);
        for (int index = 0; index < invalidLines; index++) {
            text.append("\n# whole-line comment\nrate w")
                    .append(index)
                    .append(" requests=x")
                    .append(COMMENT);
        }
        assertThat(problems(text.toString())).hasSize(invalidLines).isSortedAccordingTo(RuleProblem.BY_POSITION);
    }

    /**
     * Guards against a parser that throws an exception for text that an operator may insert into a line by accident.
     */
    @Property(tries = 500)
    void neverThrows(@ForAll String noise, @ForAll @IntRange(min = 0, max = 90) int position) {
        String line = "kind k target=m method=GET path=/x* tier=standard deadline=1s output=5" + COMMENT;
        int cut = Math.min(position, line.length());
        assertThat(RuleParser.parse("test.rules", BASE + line.substring(0, cut) + noise + line.substring(cut)))
                .isNotNull();
    }

    private static List<RuleProblem> problems(String text) {
        return RuleParser.parse("test.rules", text) instanceof RuleParseResult.Invalid invalid
                ? invalid.problems()
                : List.of();
    }
}
