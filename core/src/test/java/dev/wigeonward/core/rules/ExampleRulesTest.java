package dev.wigeonward.core.rules;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;

import com.google.common.hash.Hashing;
import dev.wigeonward.core.request.Tier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExampleRulesTest {
    private static final String CHAT = "/v1/chat/completions";

    /**
     * Guards against example files that the parser rejects, and against documented demonstration keys that belong to no
     * workspace or are accepted without hashing.
     */
    @ParameterizedTest
    @ValueSource(strings = {"kopsu", "bajio"})
    void parsesWithFiveWorkspacesEachWithItsKey(String deployment) throws IOException {
        RuleSet rules = rules(deployment);
        assertThat(rules.workspaces()).hasSize(5);
        rules.workspaces().forEach(workspace -> {
            String key = deployment + "-demo-" + workspace.name();
            String hash =
                    Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
            assertThat(rules.workspaceByKeyHash(hash)).contains(workspace);
            assertThat(rules.workspaceByKeyHash(key)).isEmpty();
        });
    }

    /** Guards against lookups that do not return the matching rule, for example because a later kind is preferred. */
    @Test
    void looksUpRulesOfKopsu() throws IOException {
        RuleSet rules = rules("kopsu");
        Rule.Kind note = kind(rules, "advisory", CHAT, "POST", OptionalInt.of(100));
        assertThat(note.name()).isEqualTo("status-note");
        assertThat(note.deadlineMillis()).isEqualTo(5_000);
        assertThat(kind(rules, "advisory", CHAT, "POST", OptionalInt.of(121)).name())
                .isEqualTo("flag-explanation");
        assertThat(kind(rules, "advisory", CHAT, "POST", OptionalInt.empty()).name())
                .isEqualTo("ice-assessment");
        assertThat(kind(rules, "flags", "/flags/orders/7", "POST", OptionalInt.empty())
                        .name())
                .isEqualTo("flag-order");
        assertThat(rules.tier("rescue", note)).contains(Tier.CRITICAL);
        assertThat(rules.tier("ferries", note)).contains(Tier.STANDARD);
        assertThat(rules.tier("research", note)).contains(Tier.BATCH);
        assertThat(rules.isIdempotent("flags", "/flags/orders", "POST")).isFalse();
        assertThat(rules.isIdempotent("flags", "/flags/orders", "GET")).isTrue();
        assertThat(rules.isIdempotent("flags", "/flags", "POST")).isTrue();
        assertThat(rules.serviceForPath("/ponds/12").map(Rule.Service::name)).contains("pond-records");
        assertThat(rules.serviceForPath("/fees")).isEmpty();
        assertThat(rules.limit(Rule.LimitName.BODY)).isEqualTo(2L << 20);
        assertThat(rules.limit(Rule.LimitName.QUEUE)).isEqualTo(2_000);
        assertThat(rules.rate("ferries").orElseThrow().tokensPerSecond()).hasValue(8_000);
        assertThat(rules.longestDeadlineMillis()).isEqualTo(20 * 60_000);
    }

    /**
     * Guards against commitments, prices, fencing and moves that are parsed with a wrong unit or for a wrong target.
     */
    @Test
    void looksUpRulesOfBajio() throws IOException {
        RuleSet rules = rules("bajio");
        Rule.Move move = rules.move("shared").orElseThrow();
        assertThat(move.canaryBasisPoints()).isEqualTo(150);
        assertThat(move.by()).isEqualTo(Instant.parse("2027-02-14T12:00:00Z"));
        assertThat(rules.moves()).containsExactly(move);
        assertThat(rules.checksFencing("shared-1", "shared")).isTrue();
        assertThat(rules.checksFencing("shared-8", "shared")).isFalse();
        assertThat(rules.checksFencing("desk-1", "race-desk")).isFalse();
        assertThat(rules.commitment("timing").orElseThrow().spendMicros()).isEqualTo(18_000_000_000L);
        assertThat(rules.price("shared").orElseThrow().microsPerThousandTokens())
                .isEqualTo(380_000);
        assertThat(rules.workspace("timing").map(Rule.Workspace::weight)).isEqualTo(Optional.of(30));
        assertThat(rules.isIdempotent("race-desk", "/desk/fees", "POST")).isFalse();
        assertThat(kind(rules, "race-desk", "/desk/standings/3", "GET", OptionalInt.empty())
                        .name())
                .isEqualTo("standings");
        assertThat(move.source().askedBy()).isEqualTo("Octavio (timing)");
    }

    private static Rule.Kind kind(RuleSet rules, String target, String path, String method, OptionalInt tokens) {
        return rules.kind(target, path, method, tokens).orElseThrow();
    }

    private static RuleSet rules(String deployment) throws IOException {
        String file = deployment + ".rules";
        RuleParseResult result = RuleParser.parse(file, Files.readString(Path.of("../examples", file)));
        assertThat(result).isInstanceOf(RuleParseResult.Valid.class);
        return ((RuleParseResult.Valid) result).rules();
    }
}
