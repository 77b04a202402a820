package dev.wigeonward.entry.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.admission.WorkspaceRateLimiter;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.rules.RuleSet;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the close of a caller's connection reaches the scheduling of its request. */
class DisconnectedCallerTest {
    private static final String CHAT = "{\"model\":\"advisory\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
    private static final String REQUEST =
            "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer kopsu-demo-rescue\r\n"
                    + "content-length: " + CHAT.length() + "\r\n\r\n" + CHAT;
    /** Longest time after which the scheduler must know that a caller has closed its connection. */
    private static final long MAX_NOTICE_MILLIS = 500;

    private final CountDownLatch submitted = new CountDownLatch(1);
    private final CountDownLatch disconnected = new CountDownLatch(1);
    private volatile boolean startsStream;
    private HttpServerContext server;

    @BeforeEach
    void start() throws Exception {
        RuleSet rules = TestRules.withLines("");
        CallerService service = new CallerService(
                new RulesClassifier(() -> Optional.of(rules), new WorkspaceRateLimiter()),
                new SilentHandler(),
                () -> Map.of("data", List.of()),
                () -> new CallerLimits(100_000, 10_000),
                () -> new RequestId("r"),
                Clock.systemUTC());
        server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .protocols(CallerService.protocol())
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenStreamingAndAwait(service);
    }

    @AfterEach
    void stop() throws Exception {
        server.closeAsync().toFuture().get();
    }

    private void assertCloseIsNoticedBehind(String furtherBytes) throws Exception {
        InetSocketAddress address = (InetSocketAddress) server.listenAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            write(socket, REQUEST);
            assertThat(submitted.await(5, TimeUnit.SECONDS)).isTrue();
            if (startsStream) {
                assertThat(socket.getInputStream().readNBytes(12)).asString().isEqualTo("HTTP/1.1 200");
            }
            write(socket, furtherBytes);
        }
        assertThat(disconnected.await(MAX_NOTICE_MILLIS, TimeUnit.MILLISECONDS))
                .as("close noticed within %s ms", MAX_NOTICE_MILLIS)
                .isTrue();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against a request that runs on because the close of its caller is not read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void closeIsNoticed(boolean streams) throws Exception {
        startsStream = streams;
        assertCloseIsNoticedBehind("");
    }

    /** Guards against a request that runs on because its caller had sent another one before it closed. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void closeIsNoticedBehindPipelinedRequest(boolean streams) throws Exception {
        startsStream = streams;
        assertCloseIsNoticedBehind(REQUEST);
    }

    /** A handler that accepts each request and writes at most the first part of its answer. */
    private final class SilentHandler implements RequestHandler {
        @Override
        public boolean submit(CallerResponse response) {
            if (startsStream) {
                response.start(200, List.of(Map.entry("content-type", "text/event-stream")));
                response.write("id: 1\n\n".getBytes(StandardCharsets.US_ASCII));
            }
            submitted.countDown();
            return true;
        }

        @Override
        public void onCallerDisconnected(CallerResponse response) {
            disconnected.countDown();
        }

        @Override
        public void onRefused(Failure failure) {}
    }
}
