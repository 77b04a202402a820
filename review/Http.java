import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Plain HTTP/1.1 over blocking sockets, for the stand-ins and the test callers. */
final class Http {
    /** Longest body that is kept; a longer one is read and discarded. */
    private static final int MAX_KEPT_BYTES = 1_000_000;

    private Http() {}

    interface Handler {
        void serve(Socket socket) throws Exception;
    }

    /** Signals bytes that are no answer in the protocol. */
    static final class NoAnswerException extends IOException {
        NoAnswerException(String message) {
            super(message);
        }
    }

    static Thread daemon(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void acceptLoop(ServerSocket server, Handler handler) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon("connection", () -> {
                    try (socket) {
                        handler.serve(socket);
                    } catch (Exception e) {
                        // The other side has closed the connection.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    static byte[] head(String... lines) {
        return (String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A request or an answer. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
        /** Length of the body, also of one that was not kept. */
        int bodyLength;

        String path() {
            String target = first.split(" ")[1];
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        Map<String, String> query() {
            Map<String, String> query = new HashMap<>();
            String target = first.split(" ")[1];
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String pair : target.substring(mark + 1).split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1),
                            StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String bodyText() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reader of the messages of one connection. */
    static final class Reader {
        private final InputStream in;

        Reader(InputStream in) {
            this.in = new BufferedInputStream(in, 65_536);
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    if (line.size() == 0) {
                        return null;
                    }
                    throw new EOFException("end inside a line: " + line);
                }
                line.write(next);
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }

        private Message readHead() throws IOException {
            Message message = new Message();
            message.first = line();
            if (message.first == null) {
                return null;
            }
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                if (colon < 0) {
                    throw new IOException("no header: " + line);
                }
                message.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
            }
            return message;
        }

        /** Returns the next request, or null if the connection was closed. */
        Message readRequest() throws IOException {
            Message message = readHead();
            if (message != null) {
                readBody(message);
            }
            return message;
        }

        /** Returns the head of the next answer, or null if the connection was closed. */
        Message readAnswerHead() throws IOException {
            Message message = readHead();
            if (message != null && !message.first.matches("HTTP/1\\.1 [0-9]{3}( .*)?")) {
                throw new NoAnswerException("no answer: '" + message.first + "'");
            }
            return message;
        }

        /** Returns the next answer with its body, or null if the connection was closed. */
        Message readAnswer(boolean headRequest) throws IOException {
            Message message = readAnswerHead();
            if (message != null && !headRequest) {
                readBody(message);
            }
            return message;
        }

        private void readBody(Message message) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
                for (byte[] chunk = chunk(); chunk.length > 0; chunk = chunk()) {
                    body.writeBytes(chunk);
                }
            } else {
                int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
                if (length > MAX_KEPT_BYTES) {
                    in.skipNBytes(length);
                    message.bodyLength = length;
                    return;
                }
                body.writeBytes(exactly(length));
            }
            message.body = body.toByteArray();
            message.bodyLength = message.body.length;
        }

        byte[] chunk() throws IOException {
            String size = line();
            if (size == null) {
                throw new EOFException("end before a chunk");
            }
            byte[] data = exactly(Integer.parseInt(size.strip(), 16));
            line();
            return data;
        }

        byte[] exactly(int length) throws IOException {
            byte[] data = in.readNBytes(length);
            if (data.length < length) {
                throw new EOFException("end after " + data.length + " of " + length + " bytes");
            }
            return data;
        }
    }
}
