package dev.wigeonward.standins.engine;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Ints;
import dev.wigeonward.common.http.BodyCollector;
import dev.wigeonward.common.http.Json;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;

/**
 * HTTP server of the emulated engine: {@code POST /v1/chat/completions}, {@code GET /v1/streams/ID?offset=N} to resume,
 * {@code DELETE /v1/streams[/ID]} to cancel, {@code GET /v1/load}, {@code GET /v1/cache-events?after=N}, {@code POST
 * /v1/orders}, {@code GET /health}, {@code POST /admin/faults}, {@code GET /admin/ran}.
 */
public final class EngineEmulator implements AutoCloseable {
    private static final String STREAM_PREFIX = "/v1/streams/";
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int DEFAULT_OUTPUT_TOKENS = 16;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int PREFIX_CHARACTERS = 1_024;
    private static final int CRASH_EXIT_CODE = 137;

    private final EngineProfile profile;
    private final EngineBatch batch;
    private final String instance = UUID.randomUUID().toString();
    private final Executor timer = Executors.newFixedSizeExecutor(1);
    private final Map<String, Integer> startsByRequestId = new LinkedHashMap<>();
    private final Set<String> versions = new TreeSet<>();
    private long highestFencingNumber;
    private HttpServerContext server;

    private EngineEmulator(EngineProfile profile, Clock clock) {
        this.profile = profile;
        this.batch = new EngineBatch(profile, clock);
        this.versions.add(profile.version());
    }

    /** Starts an engine. */
    public static EngineEmulator start(EngineProfile profile, InetSocketAddress address, Clock clock) throws Exception {
        EngineEmulator engine = new EngineEmulator(profile, clock);
        engine.server = HttpServers.forAddress(address)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenStreamingAndAwait(engine::handle);
        return engine;
    }

    /** Returns the address that the engine listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.listenAddress();
    }

    /** Returns the number of starts of each request, by request id. */
    public synchronized Map<String, Integer> startsByRequestId() {
        return Map.copyOf(startsByRequestId);
    }

    private synchronized Set<String> versions() {
        return Set.copyOf(versions);
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        Exchange exchange = new Exchange(context, request, responses);
        boolean order = request.path().equals("/v1/orders");
        return BodyCollector.collect(request, MAX_BODY_BYTES).flatMap(body -> {
            StreamingHttpResponse response = answer(exchange, body.toByteArray());
            return order && profile.loadMillis() > 0
                    ? timer.timer(Duration.ofMillis(profile.loadMillis())).concat(Single.succeeded(response))
                    : Single.succeeded(response);
        });
    }

    private StreamingHttpResponse answer(Exchange exchange, byte[] body) {
        String route = exchange.request.method().name() + " " + exchange.request.path();
        if (route.equals("POST /v1/chat/completions")) {
            return complete(exchange, body);
        }
        if (route.startsWith("GET " + STREAM_PREFIX)) {
            return resume(exchange);
        }
        if (route.startsWith("DELETE " + STREAM_PREFIX)) {
            batch.cancel(streamId(exchange));
            return exchange.json(HttpResponseStatus.OK, Map.of());
        }
        return switch (route) {
            case "DELETE /v1/streams" -> {
                batch.cancelAll();
                yield exchange.json(HttpResponseStatus.OK, Map.of());
            }
            case "GET /health" ->
                exchange.json(HttpResponseStatus.OK, Map.of("instance", instance, "versions", versions()));
            case "GET /v1/load" -> exchange.json(HttpResponseStatus.OK, batch.laggingLoad());
            case "GET /v1/cache-events" ->
                exchange.json(HttpResponseStatus.OK, batch.cacheEventsAfter(exchange.intParameter("after")));
            case "POST /v1/orders" -> order(exchange, body);
            case "POST /admin/faults" -> setFaults(exchange, body);
            case "GET /admin/ran" -> exchange.json(HttpResponseStatus.OK, startsByRequestId());
            default -> exchange.error(HttpResponseStatus.NOT_FOUND, "route " + route + " does not exist");
        };
    }

    private StreamingHttpResponse complete(Exchange exchange, byte[] body) {
        Optional<JsonNode> json = Json.read(body);
        if (json.isEmpty()) {
            return exchange.error(HttpResponseStatus.BAD_REQUEST, "the body is not JSON");
        }
        String prompt = json.get().path("messages").toString();
        if (!profile.crashMarker().isEmpty() && prompt.contains(profile.crashMarker())) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        CharSequence givenId = exchange.request.headers().get("x-request-id");
        String id = givenId == null ? UUID.randomUUID().toString() : givenId.toString();
        CharSequence givenVersion = exchange.request.headers().get("x-model-version");
        String version = givenVersion == null ? profile.version() : givenVersion.toString();
        if (!versions().contains(version)) {
            return exchange.error(HttpResponseStatus.NOT_FOUND, "version " + version + " is not loaded");
        }
        EngineStream stream = new EngineStream(
                id,
                profile.model(),
                version,
                json.get().path("stream").asBoolean(false),
                Math.max(1, contentLength(json.get()) / CHARACTERS_PER_TOKEN),
                json.get().path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS),
                exchange.context.executionContext().bufferAllocator());
        synchronized (this) {
            startsByRequestId.merge(id, 1, Integer::sum);
        }
        if (!batch.submit(stream, prefixHash(json.get()))) {
            return exchange.error(
                    HttpResponseStatus.INTERNAL_SERVER_ERROR, "request " + id + " fails because of an injected fault");
        }
        return exchange.stream(stream, 0);
    }

    private static int contentLength(JsonNode json) {
        int characters = 0;
        for (JsonNode message : json.path("messages")) {
            characters += message.path("content").asText().length();
        }
        return characters;
    }

    private static long prefixHash(JsonNode json) {
        StringBuilder prompt = new StringBuilder();
        json.path("messages")
                .forEach(message -> prompt.append(message.path("content").asText()));
        if (prompt.length() < PREFIX_CHARACTERS) {
            return 0;
        }
        return Hashing.murmur3_128()
                .hashString(prompt.substring(0, PREFIX_CHARACTERS), StandardCharsets.UTF_8)
                .asLong();
    }

    private StreamingHttpResponse resume(Exchange exchange) {
        return batch.find(streamId(exchange))
                .map(stream -> exchange.stream(stream, exchange.intParameter("offset")))
                .orElseGet(() -> exchange.error(
                        HttpResponseStatus.NOT_FOUND, "stream " + streamId(exchange) + " does not exist"));
    }

    private synchronized StreamingHttpResponse order(Exchange exchange, byte[] body) {
        Optional<JsonNode> json = Json.read(body);
        if (json.isEmpty()) {
            return exchange.error(HttpResponseStatus.BAD_REQUEST, "the body is not JSON");
        }
        long fencingNumber = json.get().path("fencing_number").asLong();
        if (profile.checksFencing() && fencingNumber < highestFencingNumber) {
            return exchange.error(
                    HttpResponseStatus.CONFLICT,
                    "fencing number is " + fencingNumber + "; expected at least " + highestFencingNumber);
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        String version = json.get().path("version").asText();
        switch (json.get().path("kind").asText()) {
            case "load" -> versions.add(version);
            case "unload" -> versions.remove(version);
            default -> {
                // A change of role changes nothing in the emulator.
            }
        }
        return exchange.json(HttpResponseStatus.OK, Map.of("state", "done"));
    }

    private StreamingHttpResponse setFaults(Exchange exchange, byte[] body) {
        JsonNode json = Json.read(body).orElse(Json.mapper().createObjectNode());
        batch.setFaults(
                json.path("version").asText(),
                new EngineFaults(
                        json.path("slow_factor").asDouble(1),
                        json.path("fail_every").asInt(0),
                        json.path("fail_above_running").asInt(0)));
        return exchange.json(HttpResponseStatus.OK, Map.of());
    }

    /** Returns the identifier in the decoded path of a stream, which may hold slashes. */
    private static String streamId(Exchange exchange) {
        return exchange.request.path().substring(STREAM_PREFIX.length());
    }

    @Override
    public void close() {
        server.closeAsync().subscribe();
        timer.closeAsync().subscribe();
        batch.close();
    }

    /** HTTP request with the factory of its response. */
    private record Exchange(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        StreamingHttpResponse json(HttpResponseStatus status, Object value) {
            return responses
                    .newResponse(status)
                    .addHeader("content-type", Json.MEDIA_TYPE)
                    .payloadBody(Publisher.from(buffer(Json.write(value))));
        }

        StreamingHttpResponse error(HttpResponseStatus status, String message) {
            return json(status, Map.of("error", Map.of("message", message)));
        }

        StreamingHttpResponse stream(EngineStream stream, int offsetBytes) {
            return responses
                    .ok()
                    .addHeader("content-type", stream.eventStream() ? "text/event-stream" : Json.MEDIA_TYPE)
                    .payloadBody(stream.read(offsetBytes));
        }

        int intParameter(String name) {
            String value = request.queryParameter(name);
            Integer number = value == null ? null : Ints.tryParse(value);
            return number == null ? 0 : number;
        }

        private Buffer buffer(byte[] bytes) {
            return context.executionContext().bufferAllocator().wrap(bytes);
        }
    }
}
