package dev.wigeonward.common.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class FollowCommandTest {
    @TempDir
    private Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String line(long millis, String message) {
        return "{\"timestamp\":%d,\"level\":\"INFO\",\"formattedMessage\":\"%s\"}".formatted(millis, message);
    }

    private String log(String name, String... lines) throws IOException {
        return Files.write(directory.resolve(name), List.of(lines)).toString();
    }

    private int follow(String... arguments) {
        return FollowCommand.run(arguments, new PrintStream(out, true), new PrintStream(err, true));
    }

    private List<String> printed() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /**
     * Guards against output without the cause of a request's outcome, which may be logged by another process or some
     * time before the line of the request.
     */
    @Test
    void showsTheRequestAndOtherLinesOfItsProcessesMeanwhile() throws IOException {
        String first = log(
                "a.log",
                line(10_000, "listening id=entry-1 callers=x"),
                line(20_000, "store_lost reason=refused"),
                line(21_000, "request id=r1 outcome=refused:overloaded total_ms=900"),
                line(21_001, "request id=r11 outcome=answered:200 total_ms=5"));
        String second = log(
                "b.log",
                line(10_000, "listening id=entry-2 callers=y"),
                line(21_500, "request id=r1 outcome=answered:200 total_ms=30"),
                line(50_000, "peer_lost peer=z"));

        assertThat(follow("--id", "r1", second, first)).isEqualTo(CommandLines.EXIT_OK);
        assertThat(printed())
                .containsExactly(
                        "   -100 ms  entry-1   store_lost reason=refused",
                        "   +900 ms  entry-1   request id=r1 outcome=refused:overloaded total_ms=900",
                        "  +1400 ms  entry-2   request id=r1 outcome=answered:200 total_ms=30");
    }

    /**
     * Guards against lines that are not recognized because a log collector merged several logs into one file, and
     * against failing on lines that are not JSON.
     */
    @Test
    void readsMixedLogsWithTimeAndProcessBeforeEachLine() throws IOException {
        String mixed = log(
                "all.log",
                "   1.2 edge-1 " + line(1_200, "request id=r1 outcome=caller_left total_ms=7"),
                "   1.3 edge-2 " + line(1_300, "peer_lost peer=z"),
                "Picked up options");

        assertThat(follow("--id", "r1", mixed)).isEqualTo(CommandLines.EXIT_OK);
        assertThat(printed()).singleElement().asString().contains("edge-1", "caller_left");
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("1 lines are not log lines");
    }

    /** Guards against a command that succeeds without any output if the identifier is wrong. */
    @Test
    void reportsThatNoLineContainsTheIdentifier() throws IOException {
        assertThat(follow("--id", "r2", log("a.log", line(1, "request id=r1 total_ms=1"))))
                .isEqualTo(CommandLines.EXIT_FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("no log line contains the identifier r2");
    }
}
