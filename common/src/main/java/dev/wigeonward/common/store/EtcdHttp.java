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

/**
 * HTTP client for the JSON interface of etcd v3 that enforces the call budgets of this process. Its results distinguish
 * requests that were never written to a connection from requests that the service may have received.
 */
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

    /** Sends a call and returns its result, completed on the executor after the call timeout at the latest. */
    CompletableFuture<CallResult> call(CallType type, JsonNode body) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        if (callsInFlight.incrementAndGet() > options.maxCallsInFlight()) {
            callsInFlight.decrementAndGet();
            complete(result, type, new CallResult.OverBudget("calls in flight"));
            return result;
        }
        if (!tryAcquireCall(type)) {
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
                        response -> complete(result, type, toResult(response)),
                        failure -> complete(result, type, toResult(failure)));
        return result;
    }

    private void complete(CompletableFuture<CallResult> result, CallType type, CallResult value) {
        if (!(value instanceof CallResult.Answered)) {
            metrics.counter(type.counterName() + "." + value.getClass().getSimpleName())
                    .inc();
        }
        executor.execute(() -> result.complete(value));
    }

    private static CallResult toResult(HttpResponse response) {
        String text = response.payloadBody().toString(StandardCharsets.UTF_8);
        try {
            JsonNode body = JSON.readTree(text);
            if (response.status().code() == STATUS_OK && body.isObject()) {
                return new CallResult.Answered(body);
            }
            return new CallResult.Refused(
                    body.path("code").asInt(defaultCode(response)),
                    body.path("message").asText(response.status().toString()));
        } catch (JsonProcessingException e) {
            return new CallResult.Refused(defaultCode(response), response.status() + " without a JSON body");
        }
    }

    /** Returns the code for an answer whose body has none, for example from a proxy in front of the service. */
    private static int defaultCode(HttpResponse response) {
        return response.status().code() == STATUS_TOO_MANY_REQUESTS ? CODE_RESOURCE_EXHAUSTED : NO_CODE;
    }

    /** Returns the result for a failed call. ServiceTalk marks requests that were not written as retryable. */
    private static CallResult toResult(Throwable failure) {
        return failure instanceof RetryableException
                ? new CallResult.NotSent(failure.toString())
                : new CallResult.Unanswered(failure.toString());
    }

    /** Returns whether the budget allows a call of the type now, and counts the call if so. */
    boolean tryAcquireCall(CallType type) {
        return (type.isWrite() ? writes : reads).tryAcquire();
    }

    /** Returns the bytes of a watch's answer; fails if nothing arrives for the idle time. */
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

    /** Returns the parsed JSON; throws an unchecked exception if it is malformed. */
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
