import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A runner in a process of its own, with what it said and when. */
final class RunnerProcess {
    final String id;
    final int port;
    final Process process;
    final Queue<Line> lines = new ConcurrentLinkedQueue<>();
    private final Lab lab;
    private final boolean logged;

    RunnerProcess(Lab lab, String id, int port) throws IOException, InterruptedException {
        this(lab, id, port, Integer.MAX_VALUE, true);
    }

    /**
     * Starts a runner.
     *
     * @param load requests a second from which it is bad
     * @param logged whether each request that it runs is written to the record
     */
    RunnerProcess(Lab lab, String id, int port, int load, boolean logged) throws IOException, InterruptedException {
        this.lab = lab;
        this.id = id;
        this.port = port;
        this.logged = logged;
        process = lab.startProgram("Runner", id, String.valueOf(port), String.valueOf(load));
        Thread reader = new Thread(this::read, "runner-reader");
        reader.setDaemon(true);
        reader.start();
        for (int i = 0; i < 500 && lines.isEmpty(); i++) {
            Lab.sleep(20);
        }
        if (lines.isEmpty()) {
            throw new IOException("runner " + id + " did not start");
        }
        lab.log("runner " + id + " listens on port " + port);
    }

    /** A line that the runner said, with the time at which it was read. */
    record Line(String text, long nanos) {}

    private void read() {
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String text = out.readLine(); text != null; text = out.readLine()) {
                lines.add(new Line(text, System.nanoTime()));
                if (logged && !text.startsWith("event ")) {
                    lab.log("runner " + id + ": " + text);
                }
            }
        } catch (IOException e) {
            // The process was killed.
        }
    }

    void register(String service, int slots, long seq) {
        register(service, "v1", slots, seq);
    }

    /** Writes the entry of this runner to the store, as it does itself on the platform. */
    void register(String service, String version, int slots, long seq) {
        lab.store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                        + "\",\"zone\":\"z1\",\"version\":\"" + version + "\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + seq + "}");
    }

    long count(String prefix) {
        return lines.stream().filter(line -> line.text().startsWith(prefix)).count();
    }

    long countBetween(String prefix, long fromNanos, long toNanos) {
        return lines.stream()
                .filter(line -> line.text().startsWith(prefix) && line.nanos() >= fromNanos && line.nanos() < toNanos)
                .count();
    }

    /** Returns the time of the line with the given number among those that start with the prefix. */
    long timeOf(String prefix, int number) {
        return lines.stream()
                .filter(line -> line.text().startsWith(prefix))
                .skip(number - 1L)
                .findFirst()
                .map(Line::nanos)
                .orElse(Long.MAX_VALUE);
    }

    void kill() throws IOException, InterruptedException {
        Lab.signal(process, "KILL");
        process.waitFor();
        lab.log("runner " + id + " is killed");
    }
}
