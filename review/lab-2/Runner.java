import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of a runner, a process of its own: {@code Runner ID PORT [LOAD]}. It writes to its standard output what it
 * runs. The path of a request tells how it answers: {@code /stream/} a stream without length, an event each 50 ms;
 * {@code /long/} a body without length in two halves; anything else a body with its length, after 5 ms. With LOAD its
 * version is bad under load: of the plain requests of a second beyond that number, it fails half.
 */
final class Runner {
    /** Events of a stream; the last one says so. */
    static final int EVENTS = 60;

    private static final int EVENT_MILLIS = 50;

    private static final int HALF_MILLIS = 3_000;
    private static final int PLAIN_MILLIS = 5;
    private static final long SECOND_NANOS = 1_000_000_000;

    private final String id;
    private final int load;
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    private long overloaded;

    private Runner(String id, int load) {
        this.id = id;
        this.load = load;
    }

    /** Counts a plain request and returns whether it fails. */
    private synchronized boolean fails() {
        long now = System.nanoTime();
        arrivals.addLast(now);
        while (now - arrivals.peekFirst() > SECOND_NANOS) {
            arrivals.removeFirst();
        }
        return arrivals.size() > load && overloaded++ % 2 == 0;
    }

    public static void main(String[] arguments) throws IOException {
        int load = arguments.length > 2 ? Integer.parseInt(arguments[2]) : Integer.MAX_VALUE;
        Runner runner = new Runner(arguments[0], load);
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[1])), 128);
        say("listening " + arguments[0]);
        while (true) {
            Socket socket = listener.accept();
            new Thread(() -> runner.serve(socket)).start();
        }
    }

    private static synchronized void say(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (answer(in, socket.getOutputStream())) {
                // The channel is kept for the next request.
            }
        } catch (IOException e) {
            // The channel was closed by the other side.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers one request and returns whether the channel is kept. */
    private boolean answer(InputStream in, OutputStream out) throws IOException, InterruptedException {
        String start = line(in);
        if (start == null) {
            return false;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        String attempt = headers.getOrDefault("attempt-id", "none");
        if (!headers.getOrDefault("expect-instance", id).equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        say("runs " + attempt + " " + start + " body=" + body.length);
        String head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: " + id + "." + attempt + "\r\n";
        if (start.contains("/long/")) {
            write(out, head + "Connection: close\r\n\r\nfirst half of " + attempt);
            Thread.sleep(HALF_MILLIS);
            write(out, ", second half of " + attempt);
            say("whole " + attempt + " ");
            return false;
        }
        if (!start.contains("/stream/")) {
            Thread.sleep(PLAIN_MILLIS);
            boolean failed = fails();
            String text = (failed ? "failed " : "done ") + attempt;
            String answer = failed ? head.replace("200 OK", "500 Internal Server Error") : head;
            write(out, answer + "Content-Length: " + text.length() + "\r\n\r\n" + text);
            say((failed ? "failed " : "whole ") + attempt + " ");
            return true;
        }
        write(out, head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLIS);
            write(out, "id: " + event + "\ndata: " + (event == EVENTS ? "last" : "more") + "\n\n");
            say("event " + attempt + " " + event);
        }
        say("whole " + attempt + " ");
        return false;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }
}
