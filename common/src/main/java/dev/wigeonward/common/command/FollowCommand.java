package dev.wigeonward.common.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wigeonward.common.http.Json;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Command that traces one request through the logs of several processes. It prints, in order of time, the lines that
 * contain the request's identifier, and the lines about other things than requests that the same processes logged
 * during the request and shortly before and after it.
 */
public final class FollowCommand {
    private static final Pattern TOTAL = Pattern.compile("\\btotal_ms=(\\d+)");
    /** Log line in which a process reports its name. */
    private static final Pattern NAME = Pattern.compile("^listening id=(\\S+)");

    private static final String REQUEST = "request ";
    private static final int MIN_NAME_WIDTH = 8;

    @Option(name = "--id", metaVar = "ID", required = true, usage = "identifier of the request")
    private String id;

    @Option(
            name = "--around",
            metaVar = "MS",
            usage = "milliseconds before and after the request of which other lines of its processes are shown")
    private long aroundMillis = 1_000;

    @Argument(metaVar = "FILE...", required = true, usage = "logs, one file for each process or mixed")
    private List<Path> files = new ArrayList<>();

    private FollowCommand() {}

    private record Line(String process, long atMillis, String message) {}

    /** Time in which a process handled the request, extended by the time around it that is shown. */
    private record Span(String process, long fromMillis, long toMillis) {
        private boolean contains(Line line) {
            return line.process().equals(process) && line.atMillis() >= fromMillis && line.atMillis() <= toMillis;
        }
    }

    /**
     * Prints the lines of the request and returns the exit code: 0 if the logs contain its identifier, 1 if they do not
     * or cannot be read, 2 for wrong usage.
     */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        FollowCommand command = new FollowCommand();
        OptionalInt exitCode = CommandLines.read(command, arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        try {
            return command.follow(out, err);
        } catch (IOException e) {
            err.println("reading the logs failed: " + e);
            return CommandLines.EXIT_FAILED;
        }
    }

    private int follow(PrintStream out, PrintStream err) throws IOException {
        List<Line> lines = new ArrayList<>();
        int unparsed = 0;
        for (Path file : files) {
            unparsed += read(file, lines);
        }
        if (unparsed > 0) {
            err.println(unparsed + " lines are not log lines and were skipped");
        }
        Pattern idPattern = Pattern.compile("(^|[ =/])" + Pattern.quote(id) + "($|[ ,/])");
        List<Span> spans = new ArrayList<>();
        for (Line line : lines) {
            if (idPattern.matcher(line.message()).find()) {
                long startMillis = line.atMillis() - totalMillis(line).orElse(0);
                spans.add(new Span(line.process(), startMillis - aroundMillis, line.atMillis() + aroundMillis));
            }
        }
        if (spans.isEmpty()) {
            err.println("no log line contains the identifier " + id);
            return CommandLines.EXIT_FAILED;
        }
        long zeroMillis = spans.stream().mapToLong(Span::fromMillis).min().orElseThrow() + aroundMillis;
        lines.stream()
                .filter(line -> idPattern.matcher(line.message()).find() || isContext(line, spans))
                .sorted(Comparator.comparingLong(Line::atMillis))
                .forEach(line -> out.println(text(line, zeroMillis)));
        return CommandLines.EXIT_OK;
    }

    /** Returns whether a line is not about a request and falls into a span of its process. */
    private static boolean isContext(Line line, List<Span> spans) {
        return !line.message().startsWith(REQUEST) && spans.stream().anyMatch(span -> span.contains(line));
    }

    private static String text(Line line, long zeroMillis) {
        String name = line.process();
        return "%+7d ms  %s%s  %s"
                .formatted(
                        line.atMillis() - zeroMillis,
                        name,
                        " ".repeat(Math.max(0, MIN_NAME_WIDTH - name.length())),
                        line.message());
    }

    private static OptionalLong totalMillis(Line line) {
        Matcher matcher = TOTAL.matcher(line.message());
        return matcher.find() ? OptionalLong.of(Long.parseLong(matcher.group(1))) : OptionalLong.empty();
    }

    /** Adds the log lines of a file to the list and returns the number of lines that could not be parsed. */
    private static int read(Path file, List<Line> lines) throws IOException {
        int unparsed = 0;
        String name = file.getFileName().toString();
        List<Line> linesOfFile = new ArrayList<>();
        try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                Optional<Line> line = parse(text, name);
                unparsed += line.isEmpty() && !text.isBlank() ? 1 : 0;
                line.ifPresent(linesOfFile::add);
            }
        }
        String reportedName = linesOfFile.stream()
                .map(line -> NAME.matcher(line.message()))
                .filter(Matcher::find)
                .map(matcher -> matcher.group(1))
                .findFirst()
                .orElse(name);
        linesOfFile.forEach(line -> lines.add(
                line.process().equals(name) ? new Line(reportedName, line.atMillis(), line.message()) : line));
        return unparsed;
    }

    /**
     * Returns the parsed line, or empty if it is not a log line. A log collector may have written a time and the name
     * of the process before the JSON object; the last word before the object is then the name.
     */
    private static Optional<Line> parse(String text, String fileName) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        String[] before = text.substring(0, brace).strip().split("\\s+");
        String process = before[before.length - 1].isEmpty() ? fileName : before[before.length - 1];
        return Json.read(text.substring(brace).getBytes(StandardCharsets.UTF_8))
                .filter(node -> node.path("timestamp").isIntegralNumber()
                        && node.path("formattedMessage").isTextual())
                .map(node -> line(process, node));
    }

    private static Line line(String process, JsonNode node) {
        return new Line(
                process,
                node.path("timestamp").asLong(),
                node.path("formattedMessage").asText());
    }
}
