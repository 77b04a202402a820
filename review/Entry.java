import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;
import java.util.regex.*;

/** One entry of the project, started with the command and the settings template of the deploy file. */
final class Entry {
    final String ip;
    final int callers;
    final int status;
    final int peers;
    final Path settings;
    final Path log;
    private static final List<Process> STARTED = Collections.synchronizedList(new ArrayList<>());
    private Process process;

    Entry(Path folder, String name, String ip, String store, List<String> seeds, int peerPort) throws IOException {
        this.ip = ip;
        this.callers = freePort(ip);
        this.status = freePort(ip);
        this.peers = peerPort;
        String template = Files.readString(Path.of("deploy/gateway.ini"));
        Map<String, String> values = Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", "zone-a"),
                Map.entry("listen.frontend", ip + ":" + callers),
                Map.entry("listen.readiness", ip + ":" + status),
                Map.entry("listen.control_plane", ip + ":" + peers),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("platform.address", store),
                Map.entry("bounds.retry_ratio", "0.2"),
                Map.entry("bounds.retry_slack", "58"),
                Map.entry("bounds.retry_window_s", "10"),
                Map.entry("bounds.quota_window_s", "8"),
                Map.entry("bounds.quota_overrun", "0.1"),
                Map.entry("bounds.quota_margin", "140000"));
        String text = template.replace("{{#seeds}}{{.}} {{/seeds}}", String.join(" ", seeds) + (seeds.isEmpty() ? "" : " "));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("unfilled placeholder in " + text);
        }
        settings = folder.resolve(name + ".ini");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, text);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("WIGEONWARD_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        if (STARTED.isEmpty()) {
            Runtime.getRuntime().addShutdownHook(new Thread(Entry::endAll));
        }
        STARTED.add(process);
    }

    /** Ends all entries that were started. */
    static void endAll() {
        for (Process started : List.copyOf(STARTED)) {
            started.destroyForcibly();
        }
        for (Process started : List.copyOf(STARTED)) {
            try {
                started.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns entries on 127.0.0.1, 127.0.0.2 and so on that know each other. */
    static List<Entry> several(int count, Path folder, String store) throws IOException {
        List<String> seeds = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int index = 1; index <= count; index++) {
            int port = freePort("127.0.0." + index);
            ports.add(port);
            seeds.add("127.0.0." + index + ":" + port);
        }
        List<Entry> entries = new ArrayList<>();
        for (int index = 1; index <= count; index++) {
            entries.add(new Entry(folder, "entry-" + index, "127.0.0." + index, store,
                    seeds.subList(0, Math.min(3, count)), ports.get(index - 1)));
        }
        return entries;
    }

    /** Returns the messages of the log that hold the text. */
    List<String> logged(String text) throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8).lines()
                .map(line -> line.replaceFirst(".*\"formattedMessage\":\"", "").replaceFirst("\",\"throwable.*", ""))
                .filter(line -> line.contains(text))
                .toList();
    }

    /** Changes one value in the settings file. */
    void replaceSetting(String name, String value) throws IOException {
        Files.writeString(settings, Files.readString(settings).replaceFirst("(?m)^" + name + " = .*$", name + " = " + value));
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    Process process() {
        return process;
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Returns the status of the readiness page, or 0 if there was no answer within a second. */
    int readiness() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) new URL("http://" + ip + ":" + status + "/api/readyz").openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode();
        } catch (IOException e) {
            return 0;
        }
    }

    void awaitReady(long millis) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        while (readiness() != 200) {
            if (System.nanoTime() > end || !alive()) {
                throw new IllegalStateException("the entry is not ready; see its log: "
                        + Files.readString(log, StandardCharsets.UTF_8));
            }
            Thread.sleep(50);
        }
    }

    String page(String path) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://" + ip + ":" + status + path).openConnection();
        connection.setConnectTimeout(1_000);
        connection.setReadTimeout(2_000);
        return new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, callers), 1_000);
        return socket;
    }
}
