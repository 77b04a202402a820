package dev.wigeonward.agent.upstream;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.standins.http.RepeatingServer;
import dev.wigeonward.standins.http.RepeatingServer.Moment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests calls whose path holds a request identifier, which begins with the identifier that settings give an entry. */
class RequestIdPathTest {
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private RepeatingServer server;
    private HttpUpstreamClient client;

    @BeforeEach
    void start() throws IOException {
        server = RepeatingServer.start(Moment.AHEAD_OF_THE_NEXT, request -> {
            calls.add(request.method() + " " + request.target());
            return RepeatingServer.answer(200, "");
        });
        client = HttpUpstreamClient.forEngine(server.address());
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
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

        assertThat(calls.poll(5, TimeUnit.SECONDS)).isEqualTo("DELETE /v1/streams/" + segment);
    }
}
