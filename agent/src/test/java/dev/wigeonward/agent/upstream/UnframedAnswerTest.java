package dev.wigeonward.agent.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests answers with neither length nor chunks, which end with their connection. */
class UnframedAnswerTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\n\r\nfirst half";

    /** Time from the end of the answer to that of the listener, or a negative number if the server lives. */
    private final AtomicInteger listenerMillis = new AtomicInteger(-1);

    private ServerSocket listener;
    private HttpUpstreamClient client;

    @BeforeEach
    void start() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
        client = HttpUpstreamClient.forPlainService((InetSocketAddress) listener.getLocalSocketAddress());
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        listener.close();
    }

    private void serve() {
        try {
            while (true) {
                try (Socket socket = listener.accept()) {
                    answer(socket);
                }
            }
        } catch (IOException e) {
            // The test or the server itself closed the listener.
        }
    }

    /** Answers and closes the connection in order, as the kernel does for a process that was killed. */
    private void answer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n0\r\n\r\n") < 0 && !request.toString().startsWith("GET")) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            request.append((char) next);
        }
        socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
        socket.shutdownOutput();
        if (listenerMillis.get() >= 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(listenerMillis.get()));
            listener.close();
        }
        in.readAllBytes();
    }

    /**
     * Guards against half of an answer that counts as whole because its upstream has died, also if the kernel closes
     * its listening socket after its connections.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 100})
    void answerOfADeadUpstreamIsNotWhole(int millis) {
        listenerMillis.set(millis);

        assertThat(AnswerCollector.submit(client, "id-1", "/a"))
                .startsWith("failed")
                .contains("UPSTREAM_DIED");
    }

    /** Guards against an answer without length that fails although its upstream lives. */
    @Test
    void answerOfALivingUpstreamIsWhole() {
        assertThat(AnswerCollector.submit(client, "id-1", "/a")).isEqualTo("200 first half");
    }
}
