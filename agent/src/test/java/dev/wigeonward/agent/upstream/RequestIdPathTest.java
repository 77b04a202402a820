package dev.wigeonward.agent.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.request.RequestId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests calls whose path holds a request identifier, which begins with the identifier that settings give an entry. */
class RequestIdPathTest {
    private final BlockingQueue<String> requestLines = new LinkedBlockingQueue<>();
    private ServerSocket listener;
    private HttpUpstreamClient client;

    @BeforeEach
    void start() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
        client = HttpUpstreamClient.forEngine((InetSocketAddress) listener.getLocalSocketAddress());
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
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                    requestLines.add(in.readLine());
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException e) {
            // The test closed the listener.
        }
    }

    /** Guards against a cancellation that names another request or none, so that the engine works on. */
    @ParameterizedTest
    @CsvSource({
        "edge-1-1f-7, edge-1-1f-7",
        "edge 1-1f-7, edge%201-1f-7",
        "edge/1-1f-7, edge%2F1-1f-7",
        "edge?1-1f-7, edge%3F1-1f-7",
        "edge#1-1f-7, edge%231-1f-7",
        "edge%1-1f-7, edge%251-1f-7",
        "\u00e9dge-1f-7, %C3%A9dge-1f-7"
    })
    void cancellationNamesTheRequest(String id, String segment) throws InterruptedException {
        client.cancel(new RequestId(id));

        assertThat(requestLines.poll(5, TimeUnit.SECONDS)).isEqualTo("DELETE /v1/streams/" + segment + " HTTP/1.1");
    }
}
