package dev.wigeonward.pages;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import dev.wigeonward.agent.AgentSettings;
import dev.wigeonward.common.settings.Settings;
import dev.wigeonward.common.settings.SettingsDeclaration;
import dev.wigeonward.common.settings.SettingsResult;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;
import dev.wigeonward.entry.EntrySettings;
import dev.wigeonward.entry.runtime.EntryMetrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the pages against the code that they describe. */
class PagesTest {
    private static final Pattern LINK = Pattern.compile("\\]\\(([^)\\s]+)\\)");
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
    private static final Pattern CLASS_NAME = Pattern.compile("[A-Z][a-z]+(?:[A-Z][a-z]+)*(?:\\.[A-Z]\\w+)?");
    private static final Pattern DECLARED_TYPE = Pattern.compile("\\b(?:class|record|enum|interface)\\s+([A-Z]\\w*)");

    static List<Pages.Block> settingsExamples() {
        return Pages.blocks("ini");
    }

    /** Guards against a settings example that a process rejects. */
    @ParameterizedTest
    @MethodSource("settingsExamples")
    void settingsExampleIsAccepted(Pages.Block example) {
        boolean entry = example.text().contains("[entry]");
        SettingsDeclaration declaration = entry ? EntrySettings.declaration() : AgentSettings.declaration();
        SettingsResult result = declaration.parse(example.toString(), example.text());
        assertThat(result).isInstanceOf(SettingsResult.Valid.class);
        Settings settings = ((SettingsResult.Valid) result).settings();
        assertThat(entry ? EntrySettings.of(settings) : AgentSettings.of(settings))
                .isNotNull();
    }

    /** Guards against a settings reference that differs from the declarations of the binaries. */
    @Test
    void settingsReferenceEqualsTheDeclarations() {
        assertThat(Pages.blocks("ini reference entry"))
                .extracting(block -> block.text().strip())
                .containsExactly(EntrySettings.declaration().exampleFile().strip());
        assertThat(Pages.blocks("ini reference agent"))
                .extracting(block -> block.text().strip())
                .containsExactly(AgentSettings.declaration().exampleFile().strip());
    }

    /** Guards against an error kind that is missing from the guide or documented with another status or run state. */
    @Test
    void errorTableEqualsTheErrorKinds() {
        List<List<String>> rows = Pages.table(Pages.page("OPERATIONS.md"), "## Errors");
        List<List<String>> expected = Arrays.stream(ErrorKind.values())
                .map(kind -> List.of(
                        "`" + kind.wireName() + "`",
                        Integer.toString(kind.httpStatus()),
                        kind.retryable() ? "yes" : "no",
                        "`" + kind.runState().wireName() + "`"))
                .toList();
        assertThat(rows.stream().map(row -> row.subList(0, 4)).toList()).isEqualTo(expected);
        assertThat(rows)
                .allSatisfy(row -> assertThat(row).hasSize(5).last().asString().isNotBlank());
    }

    /** Guards against a metric that is missing from the guide or has another name there. */
    @Test
    void metricsTableHasTheMetricsOfAnEntry() {
        Set<String> names = new EntryMetrics()
                .snapshot().keySet().stream()
                        .map(name -> name.replaceFirst("^(arrivals|completions)\\..*", "`$1.<tier>`")
                                .replaceFirst("^failures\\..*", "`failures.<kind>`")
                                .replaceFirst("^decision.*", "`$0`"))
                        .collect(Collectors.toCollection(TreeSet::new));
        assertThat(Pages.table(Pages.page("OPERATIONS.md"), "### Metrics"))
                .extracting(row -> row.get(0))
                .filteredOn(name -> !name.startsWith("`store."))
                .containsExactlyInAnyOrderElementsOf(names);
    }

    /** Guards against a rule example that the parser rejects; each is parsed as part of the Kopsu example. */
    @Test
    void rulesExamplesParse() {
        List<String> kopsu =
                Pages.text(Pages.ROOT.resolve("examples/kopsu.rules")).lines().toList();
        List<Pages.Block> blocks = Pages.blocks("rules").stream()
                .filter(block -> !block.page().endsWith("rules.md"))
                .toList();
        assertThat(blocks).isNotEmpty();
        for (Pages.Block block : blocks) {
            for (String line : block.text().lines().toList()) {
                Stream<String> others =
                        kopsu.stream().filter(other -> !identity(other).equals(identity(line)));
                assertParses(block.toString(), Stream.concat(others, Stream.of(line)));
            }
        }
        assertParses(
                "rules.md",
                Pages.blocks("rules").stream()
                        .filter(block -> block.page().endsWith("rules.md"))
                        .flatMap(block -> block.text().lines()));
    }

    private static String identity(String line) {
        return line.split(" ").length < 2 ? line : line.split(" ")[0] + " " + line.split(" ")[1];
    }

    private static void assertParses(String name, Stream<String> lines) {
        RuleParseResult result = RuleParser.parse(name, lines.collect(Collectors.joining("\n")));
        assertThat(result).isInstanceOf(RuleParseResult.Valid.class);
    }

    /** Guards against links to files or headings that do not exist. */
    @Test
    void linkedFilesAndHeadingsExist() {
        for (Path page : Pages.all()) {
            LINK.matcher(Pages.text(page))
                    .results()
                    .map(match -> match.group(1))
                    .filter(target -> !target.contains("://"))
                    .forEach(target -> assertLinkResolves(page, target));
        }
    }

    private static void assertLinkResolves(Path page, String target) {
        String[] parts = target.split("#", 2);
        Path file = parts[0].isEmpty() ? page : page.resolveSibling(parts[0]).normalize();
        assertThat(file).as("link of %s to %s", page.getFileName(), target).exists();
        if (parts.length == 2) {
            assertThat(Pages.text(file).lines().filter(line -> line.startsWith("#")))
                    .as("link of %s to %s", page.getFileName(), target)
                    .anyMatch(heading -> heading.replaceFirst("^#+ ", "")
                            .toLowerCase()
                            .replaceAll("[^a-z0-9 -]", "")
                            .replace(' ', '-')
                            .equals(parts[1]));
        }
    }

    /** Guards against class names on the pages whose classes were renamed or removed. */
    @Test
    void namedClassesExist() {
        Set<String> types = declaredTypes();
        for (String name : List.of("glossary.md", "contributing.md")) {
            CODE_SPAN
                    .matcher(Pages.text(Pages.page(name)))
                    .results()
                    .map((MatchResult match) -> match.group(1))
                    .filter(span -> CLASS_NAME.matcher(span).matches())
                    .forEach(span -> assertThat(types).as(name).contains(span.split("\\.")[0]));
        }
    }

    private static Set<String> declaredTypes() {
        try (Stream<Path> files = Files.walk(Pages.ROOT)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .flatMap(file ->
                            DECLARED_TYPE.matcher(Pages.text(file)).results().map(match -> match.group(1)))
                    .collect(Collectors.toSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
