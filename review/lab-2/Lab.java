import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: the store, entries with the command of the deploy file, and a record. */
final class Lab implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Path root;
    private final Path folder = Files.createTempDirectory("review-case");
    private final Path recordFile;
    private final StringBuilder record = new StringBuilder();
    private final long startNanos = System.nanoTime();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    final Store store = new Store();

    /**
     * Starts the store.
     *
     * @param root root of the repository
     * @param caseFolder folder of the case, which gets the record
     */
    Lab(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.recordFile = caseFolder.resolve("record.txt");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        log("trouble " + (TROUBLE ? 1 : 0));
    }

    /** Adds a line with the time in seconds to the record. */
    synchronized void log(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        record.append(text);
        System.out.print(text);
        try {
            Files.writeString(recordFile, record);
        } catch (IOException e) {
            throw new IllegalStateException("record is not written", e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    /** Starts entries that know each other, and waits until all of them are ready. */
    List<Entry> startEntries(int count) throws IOException, InterruptedException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(freePort());
        }
        for (int i = 0; i < count; i++) {
            entries.add(new Entry("edge-" + (i + 1), ports.get(i), ports.subList(0, Math.min(3, count))));
        }
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        return entries;
    }

    /** Starts another program of this lab in a process of its own. */
    Process startProgram(String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path")));
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(command)
                .redirectError(folder.resolve("program-" + processes.size() + ".err").toFile())
                .start();
        processes.add(process);
        return process;
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    private void end() {
        entries.forEach(entry -> {
            if (entry.process != null) {
                entry.process.destroyForcibly();
            }
        });
        processes.forEach(Process::destroyForcibly);
        store.close();
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is temporary.
        }
    }

    @Override
    public void close() {
        end();
    }

    /** One entry, started with the command and the settings of the deploy file. */
    final class Entry {
        final String name;
        final int callerPort = freePort();
        private final int statusPort = freePort();
        private final int peerPort;
        private final Path settings;
        Process process;

        private Entry(String name, int peerPort, List<Integer> seeds) throws IOException {
            this.name = name;
            this.peerPort = peerPort;
            this.settings = folder.resolve(name + ".ini");
            String text = Files.readString(root.resolve("deploy/gateway.ini"));
            StringBuilder peers = new StringBuilder();
            seeds.forEach(port -> peers.append("127.0.0.1:").append(port).append(' '));
            text = text.replaceAll("\\{\\{#seeds}}.*?\\{\\{/seeds}}", Matcher.quoteReplacement(peers.toString()));
            text = text.replaceAll("\\{\\{#(bounds\\.[a-z_]+)}}.*?\\{\\{/\\1}}", "");
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", name);
            values.put("zone", "z1");
            values.put("listen.frontend", "127.0.0.1:" + callerPort);
            values.put("listen.readiness", "127.0.0.1:" + statusPort);
            values.put("listen.control_plane", "127.0.0.1:" + peerPort);
            values.put("platform.address", store.address());
            values.put("limits.cpu_quota", "0.57");
            values.put("bounds.grace_s", "8");
            values.put("bounds.retry_ratio", "0.2");
            values.put("bounds.retry_slack", "58");
            values.put("bounds.retry_window_s", "10");
            values.put("bounds.quota_window_s", "8");
            values.put("bounds.quota_overrun", "0.1");
            values.put("bounds.quota_margin", "140000");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            if (text.contains("{{")) {
                throw new IOException("settings have a field that is not filled in: " + text);
            }
            Files.writeString(settings, text);
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy file has no run command");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.directory(root.toFile());
            builder.environment().put("WIGEONWARD_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            log(name + " started");
        }

        boolean ready() {
            try (Channel channel = new Channel(statusPort)) {
                return channel.call("GET /api/readyz HTTP/1.1\r\nHost: status\r\n\r\n", new byte[0], 1_000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException, IOException {
            for (int i = 0; i < 200; i++) {
                if (ready()) {
                    log(name + " is ready");
                    return;
                }
                sleep(100);
            }
            throw new IOException(name + " did not become ready");
        }

        void signal(String signal) throws IOException, InterruptedException {
            Lab.signal(process, signal);
            log(name + " got SIG" + signal);
        }

        /** Returns how many lines of the output of this entry contain the text. */
        long outputLines(String text) throws IOException {
            try (var lines = Files.lines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1)) {
                return lines.filter(line -> line.contains(text)).count();
            }
        }

        Channel connect() throws IOException {
            return new Channel(callerPort);
        }
    }

    /** Answer as a requester sees it. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        /** Whether the answer ended as its framing says. */
        boolean whole;

        String end = "";

        String text() {
            return body.toString(StandardCharsets.UTF_8);
        }
    }

    /** Kept channel of a requester. */
    static final class Channel implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Channel(int port) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and reads its answer; what breaks is stated in the answer. */
        Answer call(String head, byte[] body, int timeoutMillis) {
            Answer answer = new Answer();
            try {
                socket.setSoTimeout(timeoutMillis);
                socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(body);
                socket.getOutputStream().flush();
            } catch (IOException e) {
                // An answer may have arrived before the request was sent whole.
                answer.end = "sending broke: " + e.getMessage();
            }
            try {
                read(answer);
            } catch (SocketTimeoutException e) {
                answer.end = "no more bytes within " + timeoutMillis + " ms";
            } catch (IOException | RuntimeException e) {
                answer.end = "channel broke: " + e.getMessage();
            }
            return answer;
        }

        private void read(Answer answer) throws IOException {
            String start = line();
            if (start == null) {
                answer.end = "channel closed without an answer";
                return;
            }
            answer.status = Integer.parseInt(start.split(" ")[1]);
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                answer.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
            }
            if ("chunked".equalsIgnoreCase(answer.headers.get("transfer-encoding"))) {
                while (true) {
                    String size = line();
                    if (size == null) {
                        answer.end = "channel closed inside the answer";
                        return;
                    }
                    int length = Integer.parseInt(size.strip(), 16);
                    byte[] bytes = in.readNBytes(length);
                    answer.body.write(bytes);
                    if (bytes.length < length || line() == null) {
                        answer.end = "channel closed inside the answer";
                        return;
                    }
                    if (length == 0) {
                        break;
                    }
                }
            } else {
                int length = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
                byte[] bytes = in.readNBytes(length);
                answer.body.write(bytes);
                if (bytes.length < length) {
                    answer.end = "channel closed inside the answer";
                    return;
                }
            }
            answer.whole = true;
            answer.end = "whole";
        }

        private String line() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                bytes.write(next);
            }
            return bytes.toString(StandardCharsets.ISO_8859_1).strip();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
