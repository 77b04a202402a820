package dev.wigeonward.standins.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

/** HTTP server on loopback that writes each answer once more, on the same connection. */
public final class RepeatingServer implements AutoCloseable {
    /** Time after an answer at which it is repeated while the connection is idle. */
    public static final long LATE_MILLIS = 20;

    private static final int HEXADECIMAL = 16;

    private final ServerSocket listener = new ServerSocket();
    private final Moment moment;
    private final Function<Request, String> answers;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private RepeatingServer(Moment moment, Function<Request, String> answers) throws IOException {
        this.moment = moment;
        this.answers = answers;
    }

    /** Starts a server that answers with the bytes that the function returns for a request. */
    public static RepeatingServer start(Moment moment, Function<Request, String> answers) throws IOException {
        RepeatingServer server = new RepeatingServer(moment, answers);
        server.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        run(server::accept);
        return server;
    }

    private static void run(Runnable action) {
        Thread thread = new Thread(action, "repeating-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                run(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String earlier = "";
            while (true) {
                String own = answers.apply(read(in));
                moment.write(socket.getOutputStream(), earlier, own);
                earlier = own;
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    private static Request read(InputStream in) throws IOException {
        String[] start = line(in).split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        if (headers.containsKey("transfer-encoding")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                in.readNBytes(size);
                line(in);
            }
            line(in);
        } else {
            in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Request(start[0], start[1], headers);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in), HEXADECIMAL);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection ended within a request or between two");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8).strip();
    }

    /** Returns the bytes of an answer with a length. */
    public static String answer(int status, String body) {
        return "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s".formatted(status, body.length(), body);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    /** Received request; the names of its headers are in lower case. */
    public record Request(String method, String target, Map<String, String> headers) {
        public Request {
            headers = Map.copyOf(headers);
        }
    }

    /** Moment at which an answer is written once more. */
    public enum Moment {
        /** In one write with the answer. */
        WITH_THE_ANSWER {
            @Override
            void write(OutputStream out, String earlier, String own) throws IOException {
                send(out, own + own);
            }
        },
        /** While the connection carries no request. */
        WHILE_IDLE {
            @Override
            void write(OutputStream out, String earlier, String own) throws IOException {
                send(out, own);
                pause();
                send(out, own);
            }
        },
        /** After the next request, ahead of the answer to it. */
        AHEAD_OF_THE_NEXT {
            @Override
            void write(OutputStream out, String earlier, String own) throws IOException {
                send(out, earlier + own);
            }
        },
        /** Its beginning while the connection carries no request, its end ahead of the next answer. */
        IN_PIECES {
            @Override
            void write(OutputStream out, String earlier, String own) throws IOException {
                send(out, earlier.substring(earlier.length() / 2) + own);
                pause();
                send(out, own.substring(0, own.length() / 2));
            }
        };

        /** Writes an answer, where {@code earlier} is the one before it on this connection, or empty. */
        abstract void write(OutputStream out, String earlier, String own) throws IOException;

        private static void send(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        private static void pause() {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LATE_MILLIS));
        }
    }
}
