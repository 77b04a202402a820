package dev.wigeonward.agent.upstream;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.standins.http.RepeatingServer;
import dev.wigeonward.standins.http.RepeatingServer.Moment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static dev.wigeonward.standins.http.RepeatingServer.answer;
import static org.assertj.core.api.Assertions.assertThat;

/** Tests requests to an upstream that writes the answer to an earlier request once more. */
class LateAnswerTest {
    private RepeatingServer server;
    private HttpUpstreamClient client;

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
    }

    private void startPlainService(Moment moment) throws IOException {
        server = RepeatingServer.start(moment, LateAnswerTest::answerTo);
        client = HttpUpstreamClient.forPlainService(server.address());
    }

    private void startEngine(Moment moment) throws IOException {
        server = RepeatingServer.start(moment, LateAnswerTest::answerTo);
        client = HttpUpstreamClient.forEngine(server.address());
    }

    /** Answers with the path, with success unless the path states otherwise. */
    private static String answerTo(RepeatingServer.Request request) {
        return answer(request.target().contains("fails") ? 500 : 200, request.method() + " " + request.target());
    }

    private String submit(String id, String path) {
        String answer = AnswerCollector.submit(client, id, path);
        awaitLateAnswer();
        return answer;
    }

    private static void awaitLateAnswer() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(3 * RepeatingServer.LATE_MILLIS));
    }

    private static <T> T result(CompletableFuture<T> future) {
        T result = future.orTimeout(AnswerCollector.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
        awaitLateAnswer();
        return result;
    }

    /** Guards against a success where a plain service answered with a failure. */
    @ParameterizedTest
    @EnumSource
    void plainServiceAnswerIsNotThatOfAnEarlierRequest(Moment moment) throws IOException {
        startPlainService(moment);

        assertThat(submit("id-1", "/a")).isEqualTo("200 POST /a");
        assertThat(submit("id-2", "/fails")).isEqualTo("500 POST /fails");
        assertThat(submit("id-2", "/c")).isEqualTo("200 POST /c");
    }

    /** Guards against the stream of another request, or of an earlier send of the same. */
    @ParameterizedTest
    @EnumSource
    void engineAnswerIsNotThatOfAnEarlierRequest(Moment moment) throws IOException {
        startEngine(moment);

        assertThat(submit("id-1", "/v1/a")).isEqualTo("200 POST /v1/a");
        assertThat(submit("id-1", "/v1/fails")).isEqualTo("500 POST /v1/fails");
        assertThat(submit("id-2", "/v1/c")).isEqualTo("200 POST /v1/c");
    }

    /** Guards against an order that counts as executed, or a dead engine that counts as alive. */
    @ParameterizedTest
    @EnumSource
    void orderAndProbeAreNotAnsweredByAnEarlierRequest(Moment moment) throws IOException {
        server = RepeatingServer.start(
                moment, request -> answer(request.method().equals("GET") ? 200 : 500, "{\"instance\":\"i\"}"));
        client = HttpUpstreamClient.forEngine(server.address());

        assertThat(probe()).isInstanceOf(UpstreamClient.ProbeResult.Alive.class);
        CompletableFuture<String> order = new CompletableFuture<>();
        client.executeOrder(new Order(1, "o-1", Order.Kind.LOAD, "m", "v", ""), order::complete);
        assertThat(result(order)).startsWith("500");
        assertThat(probe()).isInstanceOf(UpstreamClient.ProbeResult.Alive.class);
    }

    private UpstreamClient.ProbeResult probe() {
        CompletableFuture<UpstreamClient.ProbeResult> probe = new CompletableFuture<>();
        client.probe(probe::complete);
        return result(probe);
    }
}
