package dev.wigeonward.core.rules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RulesPageTest {
    private static final List<String> KEYWORDS = List.of(
            "commitment",
            "key",
            "kind",
            "limit",
            "model",
            "move",
            "no-repeat",
            "price",
            "rate",
            "service",
            "upstream",
            "workspace");

    /**
     * Guards against documented rules that the parser rejects, and against keywords that the page does not document.
     */
    @Test
    void examplesFormOneValidFileWithAllKeywords() throws IOException {
        String text = blocks("rules");
        assertThat(RuleParser.parse("page", text)).isInstanceOf(RuleParseResult.Valid.class);
        assertThat(text.lines().map(line -> line.split(" ")[0]).distinct())
                .containsExactlyInAnyOrderElementsOf(KEYWORDS);
        RuleParseResult unknown = RuleParser.parse("page", "x y # asked by Ana: test");
        assertThat(((RuleParseResult.Invalid) unknown).problems().get(0).expected())
                .isEqualTo("one of " + String.join(", ", KEYWORDS));
    }

    /** Guards against documented error messages that differ from the ones that the parser returns. */
    @Test
    void invalidLinesHaveDocumentedProblems() throws IOException {
        String valid = blocks("rules");
        long line = valid.lines().count() + 1;
        List<String> examples = blocks("rules-errors").lines().toList();
        assertThat(examples).isNotEmpty();
        for (int index = 0; index < examples.size(); index += 2) {
            RuleParseResult result = RuleParser.parse("page", valid + examples.get(index));
            assertThat(((RuleParseResult.Invalid) result).problems())
                    .extracting(RuleProblem::toString)
                    .containsExactly("page:" + line + ":" + examples.get(index + 1));
        }
    }

    private static String blocks(String language) throws IOException {
        String page = Files.readString(Path.of("../docs/rules.md"));
        return Pattern.compile("(?ms)^```" + language + "\n(.*?)^```$")
                .matcher(page)
                .results()
                .map((MatchResult match) -> match.group(1))
                .collect(Collectors.joining());
    }
}
