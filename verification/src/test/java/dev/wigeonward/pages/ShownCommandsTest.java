package dev.wigeonward.pages;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the commands on the pages against the binaries. */
class ShownCommandsTest {
    private static final Pattern COMMAND =
            Pattern.compile("(?m)(?:^ {4}|^|`)wigeonward-(entry|agent) ([a-z][a-z-]*)([^`\n]*)");
    private static final Pattern OPTION = Pattern.compile("--[a-z][a-z-]*");
    private static final Map<String, String> MAIN_CLASSES =
            Map.of("entry", "dev.wigeonward.entry.Main", "agent", "dev.wigeonward.agent.Main");
    private static final long ANSWER_LIMIT_SECONDS = 60;

    @TempDir
    private Path directory;

    private final Map<String, String> answers = new HashMap<>();

    /** Guards against commands and options on the pages that the binaries do not have. */
    @Test
    void shownCommandsAndOptionsExist() throws Exception {
        Map<String, Set<String>> shown = shownOptionsByCommand();
        assertThat(shown).containsKeys("entry apply", "entry status", "agent dump");
        for (Map.Entry<String, Set<String>> command : shown.entrySet()) {
            String answer = answer(command.getKey());
            assertThat(isKnown(answer))
                    .as("%s answers: %s", command.getKey(), answer)
                    .isTrue();
            assertThat(command.getValue()).as(command.getKey()).allSatisfy(option -> assertThat(answer)
                    .contains(option));
        }
    }

    /** Guards against a check that accepts any word as a command. */
    @Test
    void madeUpCommandsAreNotTakenForKnown() throws Exception {
        assertThat(isKnown(answer("entry frobnicate"))).isFalse();
        assertThat(isKnown(answer("agent frobnicate"))).isFalse();
    }

    private static Map<String, Set<String>> shownOptionsByCommand() {
        Map<String, Set<String>> shown = new TreeMap<>();
        for (Path page : Pages.all()) {
            COMMAND.matcher(Pages.text(page)).results().forEach(match -> {
                Set<String> options =
                        shown.computeIfAbsent(match.group(1) + " " + match.group(2), command -> new TreeSet<>());
                OPTION.matcher(match.group(3)).results().forEach(option -> options.add(option.group()));
            });
        }
        return shown;
    }

    private static boolean isKnown(String answer) {
        return !answer.contains("unknown command") && !answer.contains("expected a command, one of");
    }

    /** Returns what a command prints without arguments and with {@code --help}; neither has an effect. */
    private String answer(String command) throws IOException, InterruptedException {
        String known = answers.get(command);
        if (known == null) {
            String[] words = command.split(" ");
            known = run(words[0], List.of(words[1])) + run(words[0], List.of(words[1], "--help"));
            answers.put(command, known);
        }
        return known;
    }

    private String run(String binary, List<String> arguments) throws IOException, InterruptedException {
        File output = directory.resolve("output").toFile();
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                MAIN_CLASSES.get(binary)));
        line.addAll(arguments);
        Process process = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
        try {
            assertThat(process.waitFor(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS))
                    .as("%s %s ends", binary, arguments)
                    .isTrue();
        } finally {
            process.destroyForcibly();
        }
        String text = Pages.text(output.toPath());
        assertThat(text).as("%s %s answers", binary, arguments).isNotBlank();
        return text;
    }
}
