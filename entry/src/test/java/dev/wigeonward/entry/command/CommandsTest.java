package dev.wigeonward.entry.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.wigeonward.entry.command.InMemoryRevisionStore.Fault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/** Tests the operator commands, as run from the command line, against a store in memory with faults. */
class CommandsTest {
    private static final String A1 = "workspace a weight=1 tiers=batch # asked by Ana: start\n";
    private static final String A2 = "workspace a weight=2 tiers=batch # asked by Ana: grows\n";
    private static final String B1 = "workspace b weight=1 tiers=batch # asked by Bo: new\n";
    private static final String BROKEN = A1 + "workspace c weight=0 tiers=batch\n";

    @TempDir
    private Path directory;

    private final InMemoryRevisionStore store = new InMemoryRevisionStore();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private Path file;

    @BeforeEach
    void nameFile() {
        file = directory.resolve("test.rules");
    }

    /** Guards against a write that is reported as failed, or is applied twice, because its reply was lost. */
    @ParameterizedTest
    @ValueSource(strings = {"NONE", "REPLY_LOST", "LATE", "WRITE_LOST"})
    void acceptsOnceWhenOneReplyIsLost(Fault fault) throws IOException {
        store.faults.add(fault);
        assertThat(apply("ana", A1)).isZero();
        assertThat(store.history).singleElement().satisfies(stored -> {
            assertThat(stored.revision().text()).isEqualTo(A1);
            assertThat(stored.revision().appliedBy()).isEqualTo("ana");
        });
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("revision 1", "+ workspace a weight=1");
    }

    /**
     * Guards against a successful write being reported as a conflict: its reply is lost, and another operator's
     * revision follows before the writer reads the head.
     */
    @Test
    void recognizesOwnWriteUnderAnotherOperatorsRevision() throws IOException {
        store.faults.add(Fault.REPLY_LOST);
        store.afterWrite = () -> {
            store.afterWrite = () -> {};
            runQuietly("bo", A1 + B1);
        };
        assertThat(apply("ana", A1)).isZero();
        assertThat(store.history).hasSize(2);
    }

    /** Guards against an unknown outcome being reported as a failure or a success after all replies were lost. */
    @Test
    void reportsUnknownOutcome() throws IOException {
        store.faults.addAll(List.of(Fault.WRITE_LOST, Fault.WRITE_LOST, Fault.LATE));
        assertThat(apply("ana", A1, "--json")).isEqualTo(1);
        assertThat(json().get("outcome").asText()).isEqualTo("unknown");
        assertThat(json().get("revision").get("apply_id").asText()).isNotEmpty();
    }

    /**
     * Guards against an invalid file being written to the store, and a store failure being reported as an accepted
     * change.
     */
    @Test
    void invalidFileAndStoreFailureChangeNothing() throws IOException {
        assertThat(apply("ana", A1)).isZero();
        assertThat(apply("ana", BROKEN)).isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("test.rules:2:20: '0' does not fit 'weight'");
        assertThat(run("check", file.toString(), "--json")).isEqualTo(1);
        assertThat(json().get("problems")).hasSize(2);
        assertThat(run("diff", file.toString(), "--store", "127.0.0.1:1")).isEqualTo(1);
        store.readsFail = true;
        assertThat(apply("ana", A2)).isEqualTo(1);
        assertThat(store.history).hasSize(1);
    }

    /** Guards against a valid file being refused because an editor wrote a byte order mark at its start. */
    @Test
    void ignoresByteOrderMark() throws IOException {
        Files.writeString(file, "\uFEFF" + A1);

        assertThat(run("check", file.toString())).isZero();
    }

    /** Guards against a usage text that shows a default for the required revision, as a primitive field would have. */
    @Test
    void rollbackWithoutRevisionNamesTheMissingOption() {
        assertThat(run("rollback", "--store", "127.0.0.1:1", "--by", "ana", "--reason", "r"))
                .isEqualTo(2);
        String text = err.toString(StandardCharsets.UTF_8);
        assertThat(text).contains("\"--to\" is required", "rollback [FILE] [options]");
        assertThat(text.lines().filter(line -> line.contains("--to N")))
                .singleElement()
                .asString()
                .doesNotContain("default");
    }

    /** Guards against an operator overwriting a change that was accepted after the base revision of the file. */
    @Test
    void reportsChangesOfOtherOperator() throws IOException {
        apply("ana", A1);
        apply("bo", A1 + B1);
        assertThat(apply("ana", A2, "--base", "1", "--json")).isEqualTo(3);
        assertThat(json().at("/their_changes/0/after/text").asText()).isEqualTo("workspace b weight=1 tiers=batch");
        assertThat(json().at("/their_changes/0/after/asked_by").asText()).isEqualTo("Bo: new");
        assertThat(json().at("/your_changes/0/rule").asText()).isEqualTo("workspace a");
        assertThat(json().get("overlap")).isEmpty();
        assertThat(Files.readString(file)).isEqualTo(A2);
        assertThat(store.history).hasSize(2);
        assertThat(apply("ana", A2 + B1, "--base", "2")).isZero();
    }

    /** Guards against a file edited from an old revision silently reverting another operator's change. */
    @Test
    void refusesToRevertOthersChangesWithoutBase() throws IOException {
        apply("ana", A1);
        apply("bo", A1 + B1);
        apply("ana", A2 + B1);
        assertThat(apply("ana", A1 + A1.replace("workspace a", "workspace c"))).isEqualTo(3);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("revision 2 by bo", "+ workspace b");
        assertThat(store.history).hasSize(3);
        assertThat(apply("ana", A1, "--base", "3")).isZero();
    }

    /** Guards against a rollback that reuses a revision number, loses its reason, or overwrites an edited file. */
    @Test
    void rollbackIsNewHigherRevision() throws IOException {
        apply("ana", A1);
        apply("bo", A2);
        String[] rollback = {
            "rollback", file.toString(), "--store", "127.0.0.1:1", "--to", "1", "--by", "cid", "--reason", "too much"
        };
        assertThat(run(rollback)).isZero();
        assertThat(store.history).hasSize(3);
        assertThat(store.history.get(2).revision().text()).isEqualTo(A1);
        assertThat(store.history.get(2).revision().reason()).isEqualTo("rollback to revision 1: too much");
        assertThat(Files.readString(file)).isEqualTo(A1);
        Files.writeString(file, BROKEN);
        rollback[5] = "2";
        assertThat(run(rollback)).isZero();
        assertThat(Files.readString(file)).isEqualTo(BROKEN);
        rollback[5] = "9";
        assertThat(run(rollback)).isEqualTo(1);
        assertThat(store.history).hasSize(4);
    }

    /** Guards against a history in the wrong order, or without the operators or the mark of the current file. */
    @Test
    void showsHistoryNewestFirst() throws IOException {
        apply("ana", A1);
        apply("bo", A2);
        out.reset();
        assertThat(run("history", file.toString(), "--store", "127.0.0.1:1")).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8).lines().map(line -> line.split(" {2,}")))
                .extracting(cells -> cells[0], cells -> cells.length > 2 ? cells[2] : "")
                .contains(tuple("2 *", "bo"), tuple("1", "ana"));
    }

    /**
     * Guards against a command that runs despite wrong usage, and {@code --help} that fails without required options.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "frobnicate",
                "apply",
                "apply f --by a --reason b",
                "check",
                "history --store nowhere",
                "history --store 127.0.0.1:1 --entries 101",
                "diff f x"
            })
    void refusesWrongUsage(String line) {
        assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(2);
        assertThat(err.size()).isPositive();
        for (String command : Commands.names()) {
            assertThat(run(command, "--help")).isZero();
        }
    }

    private int apply(String by, String text, String... more) throws IOException {
        out.reset();
        Files.writeString(file, text);
        return runApply(file, by, out, err, more);
    }

    private void runQuietly(String by, String text) {
        try {
            Path other = Files.writeString(directory.resolve(by + ".rules"), text);
            assertThat(runApply(other, by, new ByteArrayOutputStream(), new ByteArrayOutputStream()))
                    .isZero();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int runApply(Path from, String by, ByteArrayOutputStream to, ByteArrayOutputStream errors, String... more) {
        List<String> arguments = new ArrayList<>(
                List.of("apply", from.toString(), "--store", "127.0.0.1:1", "--by", by, "--reason", "test"));
        arguments.addAll(Arrays.asList(more));
        return run(arguments.toArray(String[]::new), to, errors);
    }

    private int run(String... arguments) {
        out.reset();
        return run(arguments, out, err);
    }

    private int run(String[] arguments, ByteArrayOutputStream to, ByteArrayOutputStream errors) {
        return Commands.run(
                arguments,
                store.environment(),
                new PrintStream(to, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private JsonNode json() throws IOException {
        return new ObjectMapper().readTree(out.toByteArray());
    }
}
