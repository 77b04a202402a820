package dev.wigeonward.agent.upstream;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.UrlEscapers;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.common.http.SendCondition;
import dev.wigeonward.common.http.SingleHostClients;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.request.RequestId;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;

/**
 * An upstream client over HTTP. A model engine identifies its streams by the request id, so that an answer is resumed
 * from the received offset after a broken connection and a cancelled stream frees its slot. A plain service receives
 * each request at most once.
 */
public final class HttpUpstreamClient implements UpstreamClient {
    /** Header with the request id, by which an engine identifies a stream. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    private static final String HEALTH_PATH = "/health";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int MAX_RESUMES = 3;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1_000);
    /**
     * Time in which the kernel closes all sockets of a process that was killed. It may close a connection before the
     * listening socket.
     */
    private static final Duration MAX_CLOSING_TIME = Duration.ofMillis(200);

    private static final String STREAMS_PATH = "/v1/streams";
    /** Maximum time for an order; loading a large model takes minutes. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMinutes(10);

    private final boolean engine;
    private final StreamingHttpClient client;
    private final Map<RequestId, Call> calls = new ConcurrentHashMap<>();

    private HttpUpstreamClient(InetSocketAddress address, boolean engine) {
        this.engine = engine;
        this.client = SingleHostClients.create("upstream", address).asStreamingClient();
    }

    /** Returns a client for a model engine. */
    public static HttpUpstreamClient forEngine(InetSocketAddress address) {
        return new HttpUpstreamClient(address, true);
    }

    /** Returns a client for a plain service. */
    public static HttpUpstreamClient forPlainService(InetSocketAddress address) {
        return new HttpUpstreamClient(address, false);
    }

    @Override
    public void submit(UpstreamRequest request, AnswerListener listener) {
        StreamingHttpRequest http =
                client.newRequest(HttpRequestMethod.of(request.method(), properties(request.method())), request.path());
        request.headers().forEach(header -> http.addHeader(header.getKey(), header.getValue()));
        http.setHeader(REQUEST_ID_HEADER, request.id().value());
        http.payloadBody(
                Publisher.from(client.executionContext().bufferAllocator().wrap(request.body())));
        Call call = new Call(request.id(), request.method().equals("HEAD"), listener);
        SendCondition.set(http, listener::maySend);
        calls.put(request.id(), call);
        call.start(http);
    }

    private static HttpRequestMethod.Properties properties(String method) {
        return switch (method) {
            case "GET", "HEAD", "OPTIONS" -> HttpRequestMethod.Properties.SAFE_IDEMPOTENT_CACHEABLE;
            default -> HttpRequestMethod.Properties.NONE;
        };
    }

    @Override
    public void cancel(RequestId id) {
        if (!engine) {
            return;
        }
        Optional.ofNullable(calls.remove(id)).ifPresent(Call::cancel);
        delete(streamPath(id));
    }

    @Override
    public void cancelAll() {
        if (engine) {
            delete(STREAMS_PATH);
        }
    }

    /** Returns the path of a request's stream; a request identifier may hold any characters. */
    private static String streamPath(RequestId id) {
        return STREAMS_PATH + "/" + UrlEscapers.urlPathSegmentEscaper().escape(id.value());
    }

    private void delete(String path) {
        client.request(client.delete(path))
                .flatMapPublisher(StreamingHttpResponse::payloadBody)
                .ignoreElements()
                .onErrorComplete()
                .subscribe();
    }

    @Override
    public void probe(Consumer<ProbeResult> listener) {
        client.request(client.get(HEALTH_PATH))
                .flatMap(StreamingHttpResponse::toResponse)
                .timeout(PROBE_TIMEOUT)
                .map(response -> {
                    String body = response.payloadBody().toString(StandardCharsets.UTF_8);
                    return response.status().code() == STATUS_OK
                            ? alive(body)
                            : new ProbeResult.Dead(
                                    "health check returned " + response.status() + ", expected " + STATUS_OK);
                })
                .onErrorReturn(error -> new ProbeResult.Dead(String.valueOf(error.getMessage())))
                .subscribe(listener::accept);
    }

    private static ProbeResult alive(String body) {
        JsonNode json = Json.read(body.getBytes(StandardCharsets.UTF_8)).orElseGet(Json.mapper()::createObjectNode);
        Set<String> versions = new TreeSet<>();
        json.path("versions").forEach(version -> versions.add(version.asText()));
        return new ProbeResult.Alive(json.path("instance").asText(), versions);
    }

    @Override
    public void fetchCacheEvents(long afterSequence, Consumer<CacheEvents> listener) {
        if (!engine) {
            return;
        }
        client.request(client.get("/v1/cache-events?after=" + afterSequence))
                .flatMap(StreamingHttpResponse::toResponse)
                .timeout(PROBE_TIMEOUT)
                .map(response -> cacheEvents(response.payloadBody().toString(StandardCharsets.UTF_8), afterSequence))
                .onErrorReturn(error -> new CacheEvents(afterSequence, List.of(), List.of()))
                .subscribe(listener::accept);
    }

    private static CacheEvents cacheEvents(String body, long afterSequence) {
        long lastSequence = afterSequence;
        List<Long> cached = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        JsonNode events = Json.read(body.getBytes(StandardCharsets.UTF_8)).orElseGet(Json.mapper()::createArrayNode);
        for (JsonNode event : events) {
            lastSequence = Math.max(lastSequence, event.path("sequence").asLong());
            boolean isCached = event.path("kind").asText().equals("cached");
            (isCached ? cached : evicted).add(event.path("prefix").asLong());
        }
        return new CacheEvents(lastSequence, cached, evicted);
    }

    @Override
    public void executeOrder(Order order, Consumer<String> listener) {
        if (!engine) {
            listener.accept("the upstream is a plain service, which does not support orders");
            return;
        }
        byte[] body = Json.write(Map.of(
                "fencing_number", order.fencingNumber(),
                "order_id", order.orderId(),
                "kind", order.kind().name().toLowerCase(Locale.ROOT),
                "model", order.model(),
                "version", order.version(),
                "role", order.role()));
        StreamingHttpRequest request = client.post("/v1/orders")
                .addHeader("content-type", Json.MEDIA_TYPE)
                .payloadBody(Publisher.from(
                        client.executionContext().bufferAllocator().wrap(body)));
        client.request(request)
                .flatMap(StreamingHttpResponse::toResponse)
                .timeout(ORDER_TIMEOUT)
                .map(response -> response.status().code() == STATUS_OK
                        ? ""
                        : response.status() + ": " + response.payloadBody().toString(StandardCharsets.UTF_8))
                .onErrorReturn(error -> "the engine did not answer: " + error)
                .subscribe(listener::accept);
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    /** One request, whose answer may be received over several connections. */
    private final class Call {
        private final RequestId id;
        private final boolean isHeadRequest;
        private final AnswerListener listener;
        private final AtomicLong receivedBytes = new AtomicLong();
        private int resumes;
        private boolean headReceived;
        /** Whether the end of the answer is the end of its connection. */
        private boolean endsWithConnection;

        private volatile boolean cancelled;
        private volatile Cancellable subscription;

        private Call(RequestId id, boolean isHeadRequest, AnswerListener listener) {
            this.id = id;
            this.isHeadRequest = isHeadRequest;
            this.listener = listener;
        }

        private void start(StreamingHttpRequest http) {
            read(client.request(http).flatMapPublisher(response -> {
                onHead(response);
                return response.payloadBody();
            }));
        }

        /** Subscribes to an answer and forwards it until it ends or the connection breaks. */
        private void read(Publisher<Buffer> body) {
            subscription = body.beforeOnNext(this::onOutput)
                    .ignoreElements()
                    .whenOnComplete(this::onFinished)
                    .whenOnError(this::onBroken)
                    .onErrorComplete()
                    .subscribe();
        }

        private void onHead(StreamingHttpResponse response) {
            noteFraming(response);
            headReceived = true;
            List<Map.Entry<String, String>> headers = new ArrayList<>();
            response.headers()
                    .forEach(header -> headers.add(Map.entry(
                            header.getKey().toString(), header.getValue().toString())));
            listener.onHead(response.status().code(), headers);
        }

        private void noteFraming(StreamingHttpResponse response) {
            int status = response.status().code();
            endsWithConnection = !isHeadRequest
                    && status != STATUS_NO_CONTENT
                    && status != STATUS_NOT_MODIFIED
                    && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    && !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        }

        private void onOutput(Buffer buffer) {
            byte[] part = new byte[buffer.readableBytes()];
            buffer.readBytes(part);
            receivedBytes.addAndGet(part.length);
            listener.onOutput(part);
        }

        private void onFinished() {
            if (endsWithConnection) {
                finishIfUpstreamLives();
            } else {
                finish();
            }
        }

        private void finish() {
            if (calls.remove(id) != null) {
                listener.onFinished();
            }
        }

        /**
         * Completes an answer whose end was that of its connection. The connection of a process that was killed ends in
         * the same way, so that the answer counts as whole only if the upstream still accepts connections.
         */
        private void finishIfUpstreamLives() {
            client.executionContext()
                    .executor()
                    .timer(MAX_CLOSING_TIME)
                    .concat(client.request(client.get(HEALTH_PATH))
                            .flatMapPublisher(StreamingHttpResponse::payloadBody)
                            .ignoreElements()
                            .timeout(PROBE_TIMEOUT))
                    .whenOnComplete(this::finish)
                    .whenOnError(this::finishUnlessRefused)
                    .onErrorComplete()
                    .subscribe();
        }

        private void finishUnlessRefused(Throwable error) {
            if (!neverSent(error)) {
                finish();
            } else if (calls.remove(id) != null) {
                fail(true, error);
            }
        }

        private void onBroken(Throwable error) {
            if (cancelled) {
                return;
            }
            if (error instanceof SendCondition.NotSentException) {
                calls.remove(id);
                listener.onNotSent(Failure.of(
                        ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE, "the deadline passed before the request was sent"));
                return;
            }
            boolean notSent = !headReceived && resumes == 0 && neverSent(error);
            if (notSent) {
                calls.remove(id);
                listener.onNotSent(Failure.of(ErrorKind.NO_UPSTREAM, "the upstream cannot be reached"));
                return;
            }
            resumes++;
            boolean dead = resumes > 1 && neverSent(error) || error instanceof UnknownStreamException;
            if (!engine || dead || resumes > MAX_RESUMES) {
                calls.remove(id);
                fail(dead, error);
                return;
            }
            resume();
        }

        /**
         * Reports a failure and distinguishes a lost answer from the death of the upstream, by a probe if necessary.
         */
        private void fail(boolean dead, Throwable error) {
            if (dead) {
                listener.onFailed(Failure.of(ErrorKind.UPSTREAM_DIED, "the upstream died while it ran the request"));
                return;
            }
            probe(result -> {
                ErrorKind kind = result instanceof ProbeResult.Dead ? ErrorKind.UPSTREAM_DIED : ErrorKind.UPSTREAM_LOST;
                listener.onFailed(Failure.of(kind, "the upstream's answer was interrupted: " + error));
            });
        }

        private void resume() {
            String path = streamPath(id) + "?offset=" + receivedBytes.get();
            read(client.request(client.get(path)).flatMapPublisher(response -> {
                if (response.status().code() != STATUS_OK) {
                    return response.payloadBody()
                            .ignoreElements()
                            .concat(Publisher.failed(new UnknownStreamException()));
                }
                noteFraming(response);
                return response.payloadBody();
            }));
        }

        private void cancel() {
            cancelled = true;
            Cancellable current = subscription;
            if (current != null) {
                current.cancel();
            }
        }

        private static boolean neverSent(Throwable error) {
            return error instanceof ConnectException
                    || error instanceof RetryableException
                    || error instanceof NoAvailableHostException;
        }
    }

    /** Thrown if the engine does not know a stream, because it was restarted. */
    private static final class UnknownStreamException extends RuntimeException {
        UnknownStreamException() {
            super("the engine does not know the stream to resume", null, false, false);
        }
    }
}
