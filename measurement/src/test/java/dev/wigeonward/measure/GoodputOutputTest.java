package dev.wigeonward.measure;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class GoodputOutputTest {
    @TempDir
    private Path directory;

    /** Guards against figures that depend on anything but the seed, and against a seed without effect. */
    @Test
    void sameSeedPrintsTheSameBytes() throws IOException {
        byte[] first = print(7, "first");
        assertThat(print(7, "second")).isEqualTo(first);
        assertThat(print(8, "third")).isNotEqualTo(first);
        assertThat(directory.resolve("first/goodput.csv"))
                .hasSameBinaryContentAs(directory.resolve("second/goodput.csv"));
        assertThat(Files.list(directory.resolve("first"))).hasSize(2);
    }

    private byte[] print(long seed, String output) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        String[] arguments = {
            "goodput",
            "--seed",
            String.valueOf(seed),
            "--out",
            directory.resolve(output).toString()
        };
        assertThat(Main.run(arguments, out, System.err)).isZero();
        return bytes.toByteArray();
    }
}
