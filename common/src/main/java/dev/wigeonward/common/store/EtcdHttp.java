package dev.wigeonward.common.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.wigeonward.common.http.SingleHostClients;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.transport.api.RetryableException;

/** Sends calls to the HTTP/JSON interface of etcd v3 within a budget, and tells sent calls from those not sent. */
final class EtcdHttp {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int NO_CODE = -1;
    private static final int CODE_RESOURCE_EXHAUSTED = 8;

    private final StoreOptions options;
    private final Executor executor;
    private final MetricRegistry metrics;
    private final CallBudget reads;
    private final CallBudget writes;
    private final AtomicInteger callsInFlight = new AtomicInteger();
    private final HttpClient client;

    EtcdHttp(StoreOptions options, Clock clock, Executor executor, MetricRegistry metrics) {
        this.options = options;
        this.executor = executor;
        this.metrics = metrics;
        this.reads = new CallBudget(clock, options.readsPerSecond());
        this.writes = new CallBudget(clock, options.writesPerSecond());
        this.client = SingleHostClients.create("store", options.address());
    }

    /** Returns the result of a call, on the executor, at the latest after the call timeout. */
    CompletableFuture<CallResult> call(CallType type, JsonNode body) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        if (callsInFlight.incrementAndGet() > options.callsInFlight()) {
            callsInFlight.decrementAndGet();
            complete(result, type, new CallResult.OverBudget("calls in flight"));
            return result;
        }
        if (!takeFromBudget(type)) {
            callsInFlight.decrementAndGet();
            complete(result, type, new CallResult.OverBudget(type.isWrite() ? "writes/s" : "reads/s"));
            return result;
        }
        metrics.counter(type.counterName()).inc();
        client.request(client.post(type.path())
                        .payloadBody(client.executionContext().bufferAllocator().fromUtf8(body.toString())))
                .timeout(Duration.ofMillis(options.callTimeoutMillis()))
                .beforeFinally(() -> callsInFlight.decrementAndGet())
                .subscribe(
                        response -> complete(result, type, read(response)),
                        failure -> complete(result, type, classify(failure)));
        return result;
    }

    private void complete(CompletableFuture<CallResult> result, CallType type, CallResult value) {
        if (!(value instanceof CallResult.Answered)) {
            metrics.counter(type.counterName() + "." + value.getClass().getSimpleName())
                    .inc();
        }
        executor.execute(() -> result.complete(value));
    }

    private static CallResult read(HttpResponse response) {
        String text = response.payloadBody().toString(StandardCharsets.UTF_8);
        try {
            JsonNode body = JSON.readTree(text);
            if (response.status().code() == STATUS_OK && body.isObject()) {
                return new CallResult.Answered(body);
            }
            return new CallResult.Refused(
                    body.path("code").asInt(codeOf(response)),
                    body.path("message").asText(response.status().toString()));
        } catch (JsonProcessingException e) {
            return new CallResult.Refused(codeOf(response), response.status() + " without a JSON body");
        }
    }

    /** Returns the code of an answer that names none, for example from a proxy before the service. */
    private static int codeOf(HttpResponse response) {
        return response.status().code() == STATUS_TOO_MANY_REQUESTS ? CODE_RESOURCE_EXHAUSTED : NO_CODE;
    }

    /** A retryable exception is ServiceTalk's mark of a request that was not written. */
    private static CallResult classify(Throwable failure) {
        return failure instanceof RetryableException
                ? new CallResult.NotSent(failure.toString())
                : new CallResult.Unanswered(failure.toString());
    }

    /** Returns whether a call of the type may be made now, and counts it against the budget if so. */
    boolean takeFromBudget(CallType type) {
        return (type.isWrite() ? writes : reads).tryTake();
    }

    /** Returns the messages of a watch; fails when nothing arrives for the idle time. */
    Publisher<Buffer> watch(JsonNode body) {
        metrics.counter(CallType.WATCH.counterName()).inc();
        var streaming = client.asStreamingClient();
        return streaming
                .request(streaming
                        .post(CallType.WATCH.path())
                        .payloadBody(Publisher.from(
                                client.executionContext().bufferAllocator().fromUtf8(body.toString()))))
                .flatMapPublisher(response -> response.status().code() == STATUS_OK
                        ? response.payloadBody()
                        : Publisher.failed(new IOException("watch answered with " + response.status())))
                .timeout(Duration.ofMillis(options.watchIdleMillis()));
    }

    static JsonNode parse(byte[] line) {
        try {
            return JSON.readTree(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void close() {
        client.closeAsync().subscribe();
    }
}
