import java.io.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.Locale;

/** The file record.txt of a case: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    }

    /** Writes the text to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
