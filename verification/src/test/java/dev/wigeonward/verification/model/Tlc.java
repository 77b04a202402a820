package dev.wigeonward.verification.model;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import tlc2.TLC;

/** Runs the model checker TLC in a separate process, since it keeps state in static fields and exits the JVM. */
final class Tlc {
    private static final Path SPECIFICATIONS = Path.of("src", "test", "tla").toAbsolutePath();
    private static final Path WORK = Path.of("target", "tlc").toAbsolutePath();
    /** Only ends a run that hangs; long because a shared machine may run at a fraction of its speed. */
    private static final long TIMEOUT_SECONDS = 240;

    private static final Pattern STATES = Pattern.compile("(\\d+) distinct states found, 0 states left");
    private static final Pattern DEPTH = Pattern.compile("depth of the complete state graph search is (\\d+)");
    private static final Pattern VIOLATED = Pattern.compile("Invariant (\\w+) is violated");

    private Tlc() {}

    /**
     * Result of a run of the checker.
     *
     * @param violated name of the violated invariant, empty if there is none
     * @param complete whether all reachable states were checked
     */
    record Result(String violated, boolean complete, long distinctStates, long depth, String output) {}

    /** Checks a specification with a configuration; disables the named guard unless the name is empty. */
    static Result check(String specification, String configuration, String disabledGuard) {
        try {
            Path directory = WORK.resolve(configuration + disabledGuard);
            Files.createDirectories(directory);
            Files.copy(
                    SPECIFICATIONS.resolve(specification + ".tla"),
                    directory.resolve(specification + ".tla"),
                    StandardCopyOption.REPLACE_EXISTING);
            Files.writeString(directory.resolve("model.cfg"), configuration(configuration, disabledGuard));
            return parse(run(specification, directory));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String configuration(String name, String disabledGuard) throws IOException {
        String text = Files.readString(SPECIFICATIONS.resolve(name + ".cfg"));
        if (disabledGuard.isEmpty()) {
            return text;
        }
        String on = disabledGuard + " = TRUE";
        if (!text.contains(on)) {
            throw new IllegalArgumentException(
                    name + ".cfg does not contain \"" + on + "\"; expected a guard constant");
        }
        return text.replace(on, disabledGuard + " = FALSE");
    }

    private static String run(String specification, Path directory) throws IOException {
        Path output = directory.resolve("output.txt");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx1g",
                "-Djava.io.tmpdir=" + directory,
                "-cp",
                jar(),
                TLC.class.getName()));
        command.addAll(List.of("-workers", "1", "-fp", "0", "-seed", "1", "-metadir", "states"));
        command.addAll(List.of("-config", "model.cfg", specification + ".tla"));
        Process process = new ProcessBuilder(command)
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("TLC on " + specification + " did not end within " + TIMEOUT_SECONDS + " s: "
                        + Files.readString(output));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } finally {
            process.destroyForcibly();
        }
        return Files.readString(output, StandardCharsets.UTF_8);
    }

    private static String jar() {
        return new File(TLC.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .getPath())
                .getAbsolutePath();
    }

    private static Result parse(String output) {
        Matcher violated = VIOLATED.matcher(output);
        return new Result(
                violated.find() ? violated.group(1) : "",
                output.contains("Model checking completed. No error has been found."),
                number(STATES, output),
                number(DEPTH, output),
                output);
    }

    private static long number(Pattern pattern, String output) {
        Matcher matcher = pattern.matcher(output);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }
}
