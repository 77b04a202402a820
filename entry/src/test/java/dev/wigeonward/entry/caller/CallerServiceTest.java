package dev.wigeonward.entry.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.admission.WorkspaceRateLimiter;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.rules.RuleSet;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the limits on requests of callers with raw sockets over loopback. */
class CallerServiceTest {
    private static final int BODY_BYTES = 1_000;
    private static final int HEADERS_BYTES = 500;
    private static final String CHAT = "{\"model\":\"advisory\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private final RecordingHandler handler = new RecordingHandler();
    private HttpServerContext server;

    @BeforeEach
    void start() throws Exception {
        RuleSet rules = TestRules.withLines("rate rescue requests=3/s # asked by test: a low rate\n");
        CallerService service = new CallerService(
                new RulesClassifier(() -> Optional.of(rules), new WorkspaceRateLimiter()),
                handler,
                () -> Map.of("data", List.of()),
                () -> new CallerLimits(BODY_BYTES, HEADERS_BYTES),
                () -> new RequestId("r"),
                Clock.systemUTC());
        server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .protocols(CallerService.protocol())
                .appendEarlyConnectionAcceptor(new ConnectionLimit(2))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenStreamingAndAwait(service);
    }

    @AfterEach
    void stop() throws Exception {
        server.closeAsync().toFuture().get();
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = (InetSocketAddress) server.listenAddress();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(30_000);
        return socket;
    }

    private String exchange(String headers, int contentLength, String body) throws IOException {
        try (Socket socket = connect()) {
            send(socket, headers, contentLength, body);
            return read(socket);
        }
    }

    private static void send(Socket socket, String headers, int contentLength, String body) throws IOException {
        String request = "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\n" + headers
                + "content-length: " + contentLength + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    private static String read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    private String chat(String headers, String body) throws IOException {
        return exchange("authorization: Bearer kopsu-demo-rescue\r\n" + headers, body.length(), body);
    }

    /** Guards against a body above the limit being collected in memory, which could exhaust the memory of an entry. */
    @Test
    void refusesLongBody() throws IOException {
        assertThat(chat("", "x".repeat(BODY_BYTES + 1))).contains("413", "\"body_too_large\"", "\"not_run\"");
        assertThat(handler.refused).containsExactly(ErrorKind.BODY_TOO_LARGE);
    }

    /** Guards against headers above the limit being accepted, which could exhaust the memory of an entry. */
    @Test
    void refusesLongHeaders() throws IOException {
        assertThat(chat("x-long: " + "x".repeat(HEADERS_BYTES) + "\r\n", CHAT))
                .contains("431", "\"headers_too_large\"", "\"not_run\"");
    }

    private String raw(String bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return read(socket);
        }
    }

    /**
     * Guards against request smuggling: with two body lengths, the bytes after the shorter body would be handled as a
     * second request.
     */
    @Test
    void refusesBodyWithTwoLengths() throws IOException {
        String head = "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer kopsu-demo-rescue\r\n";
        String hidden = "GET /v1/models HTTP/1.1\r\nhost: test\r\n\r\n";

        assertThat(List.of(
                        raw(head + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" + hidden),
                        raw(head + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n" + hidden),
                        raw(head + "content-length: 5\r\ncontent-length: 6\r\n\r\nhello" + hidden)))
                .allSatisfy(reply -> assertThat(reply)
                        .startsWith("HTTP/1.1 400")
                        .containsOnlyOnce("HTTP/1.1")
                        .contains("\"malformed_request\"", "connection: close"));
    }

    /**
     * Guards against a long header field closing the connection without an answer, as the decoder does above its limit.
     */
    @Test
    void refusesHeaderOfAMegabyte() throws IOException {
        assertThat(raw("GET /v1/models HTTP/1.1\r\nhost: test\r\nx: " + "a".repeat(1_000_000) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 431")
                .contains("\"headers_too_large\"");
    }

    /** Guards against a caller that declares a body and never sends it, which would hold its connection forever. */
    @Test
    void refusesBodyThatStalls() throws IOException {
        assertThat(exchange("authorization: Bearer kopsu-demo-rescue\r\n", 100, "{"))
                .contains("408", "\"body_timeout\"", "\"not_run\"");
    }

    /** Guards against a flood of connections that breaks the open ones: connections above the limit must be refused. */
    @Test
    void refusesConnectionsAboveTheLimit() throws IOException {
        List<Socket> sockets = new ArrayList<>(List.of(connect(), connect(), connect()));
        // Which connection is refused depends on the order in which the server's threads count them. Nothing is sent
        // before one is refused: a connection that is answered closes and would free a place for the one counted last.
        for (int look = 0; look < 100 && sockets.size() == 3; look++) {
            sockets.removeIf(CallerServiceTest::closedByServer);
        }
        assertThat(sockets).hasSize(2);
        for (Socket socket : sockets) {
            assertThat(closedByServer(socket)).isFalse();
            socket.setSoTimeout(30_000);
            send(socket, "", 1, "x");
            assertThat(read(socket)).contains("401");
            socket.close();
        }
    }

    private static boolean closedByServer(Socket socket) {
        try {
            socket.setSoTimeout(100);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            // A connection reset also counts as a refusal.
            return true;
        }
    }

    /** Guards against a malformed body, unknown model, malformed deadline or wrong key reaching an upstream. */
    @Test
    void refusesMalformedRequests() throws IOException {
        assertThat(chat("", "{")).contains("400", "\"malformed_request\"");
        assertThat(chat("", CHAT.replace("advisory", "other"))).contains("404", "\"unknown_target\"");
        assertThat(chat("x-deadline-ms: soon\r\n", CHAT)).contains("400", "\"malformed_request\"");
        assertThat(exchange("authorization: Bearer wrong\r\n", CHAT.length(), CHAT))
                .contains("401", "\"unauthorized\"");
    }

    /** Guards against a workspace that sends more requests than the rate in the rules allows. */
    @Test
    void refusesRequestsAboveTheRate() throws IOException {
        List<String> answers = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            answers.add(chat("", CHAT));
        }
        assertThat(answers.get(0)).contains("\"overloaded\"");
        assertThat(answers).anySatisfy(answer -> assertThat(answer).contains("429", "\"rate_limited\"", "\"not_run\""));
    }

    /** A handler that refuses all requests, as a full event queue does, and records the kinds of earlier refusals. */
    private static final class RecordingHandler implements RequestHandler {
        private final List<ErrorKind> refused = new ArrayList<>();

        @Override
        public boolean submit(CallerResponse response) {
            return false;
        }

        @Override
        public void onCallerDisconnected(CallerResponse response) {}

        @Override
        public synchronized void onRefused(Failure failure) {
            refused.add(failure.kind());
        }
    }
}
