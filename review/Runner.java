import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a runner: checks Expect-Instance, runs at most its slots at once and signs its answers. */
class Runner {
    interface Work {
        /** Runs a request that has a slot and writes its whole answer; returns false to close the connection. */
        boolean run(Http.Message request, OutputStream out) throws Exception;
    }

    record Run(String attempt, String method, String path, String tenant, int bodyLength, long atMillis) {}

    final String id;
    final String service;
    final int slots;
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    final ServerSocket server;
    private final Semaphore free;
    private final Work work;
    /** Version of the runner's software. */
    String version = "1";
    private final long born = System.currentTimeMillis();
    private static final AtomicLong SIGNATURES = new AtomicLong();
    /** Receives a line for each run. */
    static volatile java.util.function.Consumer<String> log = line -> {};

    Runner(String ip, String id, String service, int slots, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.free = new Semaphore(slots, true);
        this.work = work;
        this.server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Http.daemon(id, () -> Http.acceptLoop(server, this::serve));
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Returns the entry that the runner writes to the store about itself. */
    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\",\"version\":\"" + version + "\","
                + "\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + born + "}";
    }

    static String signature() {
        return "Server-Signature: s." + SIGNATURES.incrementAndGet();
    }

    private void serve(Socket socket) throws Exception {
        Http.Reader in = new Http.Reader(socket.getInputStream());
        OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
        for (Http.Message request = in.readRequest(); request != null; request = in.readRequest()) {
            String expected = request.headers.get("Expect-Instance");
            String attempt = request.headers.getOrDefault("Attempt-Id", "none");
            if (expected != null && !expected.equals(id)) {
                out.write(Http.head("HTTP/1.1 421 Misdirected Request", "Not-Executed: 1", "Attempt-Id: " + attempt,
                        "Content-Length: 0"));
                out.flush();
                continue;
            }
            if (!free.tryAcquire(200, TimeUnit.MILLISECONDS)) {
                out.write(Http.head("HTTP/1.1 503 Service Unavailable", "Not-Executed: 1", "Attempt-Id: " + attempt,
                        "Content-Length: 0"));
                out.flush();
                continue;
            }
            try {
                runs.add(new Run(attempt, request.first.split(" ")[0], request.path(), request.headers.get("Tenant"),
                        request.bodyLength, System.currentTimeMillis()));
                log.accept("run " + attempt + " at " + id + " " + request.first + " " + request.bodyLength + " bytes");
                boolean open = work.run(request, out);
                out.flush();
                if (!open) {
                    return;
                }
            } finally {
                free.release();
            }
        }
    }

    /** Returns work that takes some time and answers with a short text. */
    static Work plain(long millis) {
        return (request, out) -> {
            Thread.sleep(millis);
            byte[] body = ("done " + request.headers.get("Attempt-Id")).getBytes(StandardCharsets.UTF_8);
            out.write(Http.head("HTTP/1.1 200 OK", "Attempt-Id: " + request.headers.get("Attempt-Id"), signature(),
                    "Content-Length: " + body.length));
            if (!request.first.startsWith("HEAD ")) {
                out.write(body);
            }
            return true;
        };
    }

    /** Returns work that streams events with a pause after each. */
    static Work stream(int events, long pauseMillis) {
        return (request, out) -> {
            out.write(Http.head("HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Attempt-Id: " + request.headers.get("Attempt-Id"), signature(), "Transfer-Encoding: chunked"));
            for (int event = 1; event <= events; event++) {
                String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                out.flush();
                Thread.sleep(pauseMillis);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            return true;
        };
    }
}
