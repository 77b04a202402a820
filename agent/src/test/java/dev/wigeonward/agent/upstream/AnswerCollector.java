package dev.wigeonward.agent.upstream;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;

/** Collects an answer as its status and its body, or the reason why there is none. */
final class AnswerCollector implements UpstreamClient.AnswerListener {
    static final int TIMEOUT_SECONDS = 5;

    private final CompletableFuture<String> answer;
    private final StringBuffer text = new StringBuffer();

    private AnswerCollector(CompletableFuture<String> answer) {
        this.answer = answer;
    }

    /** Submits a request and returns its answer. */
    static String submit(UpstreamClient client, String id, String path) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        client.submit(
                new UpstreamRequest(new RequestId(id), "POST", path, List.of(), body), new AnswerCollector(answer));
        return answer.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        text.append(status).append(' ');
    }

    @Override
    public void onOutput(byte[] part) {
        text.append(new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void onFinished() {
        answer.complete(text.toString());
    }

    @Override
    public void onFailed(Failure failure) {
        answer.complete("failed: " + failure);
    }

    @Override
    public void onNotSent(Failure failure) {
        answer.complete("not sent: " + failure);
    }
}
