package dev.wigeonward.standins.kv;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wigeonward.standins.http.StandinHttpServer;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;

/**
 * Stand-in for the key-value service. Besides the paths of etcd it serves {@code GET /admin/counters},
 * {@code GET /admin/faults} and {@code POST /admin/faults} (a {@link KvFaults} in JSON; omitted fields are off).
 */
public final class KvStandin implements AutoCloseable {
    private static final String WATCH = "/v3/watch";
    private static final String RANGE = "/v3/kv/range";
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int HISTORY_REVISIONS = 100_000;
    private static final long EXPIRY_CHECK_MILLIS = 20;
    /** Maximum wait of an open watch for events, which bounds the time until it detects an outage. */
    private static final long WATCH_WAIT_MILLIS = 50;

    private final KvState state;
    private final KvCalls calls;
    private final KvFaultInjector faultInjector;
    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();
    private final AtomicInteger openWatches = new AtomicInteger();
    private final ScheduledExecutorService expiry = Executors.newSingleThreadScheduledExecutor();
    private StandinHttpServer server;

    private KvStandin(Clock clock, int historyRevisions) {
        this.state = new KvState(clock, historyRevisions);
        this.calls = new KvCalls(state);
        this.faultInjector = new KvFaultInjector(clock);
    }

    /** Starts a stand-in; port 0 selects a free port. Leases expire by the given clock. */
    public static KvStandin start(InetSocketAddress address, Clock clock) {
        return start(address, clock, HISTORY_REVISIONS);
    }

    /** Starts a stand-in that retains the given number of revisions for watches. */
    public static KvStandin start(InetSocketAddress address, Clock clock, int historyRevisions) {
        KvStandin standin = new KvStandin(clock, historyRevisions);
        standin.server = StandinHttpServer.start(address, standin::handle);
        standin.expiry.scheduleWithFixedDelay(
                standin.state::expireLeases, EXPIRY_CHECK_MILLIS, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return standin;
    }

    /** Returns the address that the stand-in listens on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the port that the stand-in listens on. */
    public int port() {
        return address().getPort();
    }

    /** Replaces the injected faults. */
    public void setFaults(KvFaults faults) {
        faultInjector.set(faults);
    }

    /** Returns the number of calls by path, refused calls included. */
    public Map<String, Long> counters() {
        Map<String, Long> values = new TreeMap<>();
        counters.forEach((path, count) -> values.put(path, count.sum()));
        return values;
    }

    /** Returns the number of open watches. */
    public int openWatches() {
        return openWatches.get();
    }

    private void handle(
            HttpServiceContext context,
            BlockingStreamingHttpRequest request,
            BlockingStreamingHttpServerResponse response)
            throws Exception {
        byte[] bytes = StandinHttpServer.body(request);
        String path = request.path();
        try {
            JsonNode body = bytes.length == 0 ? KvCalls.object() : StandinHttpServer.JSON.readTree(bytes);
            if (path.startsWith("/admin/")) {
                StandinHttpServer.answer(context, response, STATUS_OK, admin(path, request.method(), body));
                return;
            }
            counters.computeIfAbsent(path, each -> new LongAdder()).increment();
            serve(context, response, path, body);
        } catch (JsonProcessingException e) {
            ObjectNode error = KvCalls.object().put("error", e.getOriginalMessage());
            StandinHttpServer.answer(
                    context, response, STATUS_BAD_REQUEST, error.put("code", KvException.INVALID_ARGUMENT));
        } catch (KvException e) {
            ObjectNode error = KvCalls.object().put("error", e.getMessage()).put("message", e.getMessage());
            StandinHttpServer.answer(context, response, e.httpStatus(), error.put("code", e.code()));
        }
    }

    private JsonNode admin(String path, HttpRequestMethod method, JsonNode body) throws IOException {
        if (path.equals("/admin/faults")) {
            if (method.equals(HttpRequestMethod.POST)) {
                setFaults(StandinHttpServer.JSON.treeToValue(body, KvFaults.class));
            }
            return StandinHttpServer.JSON.valueToTree(faultInjector.faults());
        }
        if (path.equals("/admin/counters")) {
            return KvCalls.object()
                    .put("waiting_watches", openWatches())
                    .set("calls", StandinHttpServer.JSON.valueToTree(counters()));
        }
        throw new KvException(KvException.NOT_FOUND, "unknown path " + path);
    }

    private void serve(
            HttpServiceContext context, BlockingStreamingHttpServerResponse response, String path, JsonNode body)
            throws Exception {
        boolean write = !path.equals(RANGE) && !path.equals(WATCH);
        if (faultInjector.faults().down() == KvFaults.Outage.DROP) {
            StandinHttpServer.closeConnection(context);
        }
        if (faultInjector.faults().down() == KvFaults.Outage.REFUSE) {
            throw new KvException(KvException.UNAVAILABLE, "etcdserver: no leader");
        }
        faultInjector.checkLimit(write);
        if (path.equals(WATCH)) {
            watch(context, response, body.path("create_request"));
            return;
        }
        KvFaultInjector.WriteHandling writeHandling =
                write ? faultInjector.nextWriteHandling() : KvFaultInjector.WriteHandling.ANSWER;
        if (writeHandling == KvFaultInjector.WriteHandling.DROP_BEFORE_EFFECT) {
            StandinHttpServer.closeConnection(context);
        }
        ObjectNode result = execute(path, body);
        Thread.sleep(faultInjector.faults().slowMillis());
        if (writeHandling == KvFaultInjector.WriteHandling.LOSE_AFTER_EFFECT) {
            StandinHttpServer.closeConnection(context);
        }
        StandinHttpServer.answer(context, response, STATUS_OK, result);
    }

    private ObjectNode execute(String path, JsonNode body) {
        return switch (path) {
            case RANGE -> calls.range(body);
            case "/v3/kv/txn" -> calls.transaction(body);
            case "/v3/lease/grant" -> calls.grantLease(body);
            case "/v3/lease/keepalive" -> calls.keepLeaseAlive(body);
            case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> calls.revokeLease(body);
            default -> throw new KvException(KvException.NOT_FOUND, "unknown path " + path);
        };
    }

    private void watch(HttpServiceContext context, BlockingStreamingHttpServerResponse response, JsonNode request)
            throws Exception {
        String key = KvCalls.key(request.path("key"));
        Optional<String> end = KvCalls.end(request);
        long start = request.path("start_revision").asLong();
        long next = start > 0 ? start : state.revision() + 1;
        response.status(HttpResponseStatus.OK);
        openWatches.incrementAndGet();
        try (HttpPayloadWriter<Buffer> writer = response.sendMetaData()) {
            send(context, writer, calls.withHeader().put("created", true));
            while (faultInjector.faults().down() == KvFaults.Outage.NO) {
                KvState.Events events = state.awaitEvents(key, end, next, WATCH_WAIT_MILLIS);
                if (faultInjector.faults().silentWatches()) {
                    Thread.sleep(WATCH_WAIT_MILLIS);
                    continue;
                }
                if (events.compactedRevision() > 0) {
                    String compacted = Long.toString(events.compactedRevision());
                    send(
                            context,
                            writer,
                            calls.withHeader().put("canceled", true).put("compact_revision", compacted));
                    return;
                }
                next = events.nextRevision();
                if (!events.events().isEmpty()) {
                    send(context, writer, eventMessage(events));
                }
            }
        } finally {
            openWatches.decrementAndGet();
        }
    }

    private ObjectNode eventMessage(KvState.Events events) {
        ObjectNode result = calls.withHeader();
        ArrayNode list = result.putArray("events");
        events.events().forEach(event -> {
            ObjectNode node = list.addObject();
            if (event.deleted()) {
                node.put("type", "DELETE");
            }
            node.set("kv", KvCalls.entry(event));
        });
        return result;
    }

    private static void send(HttpServiceContext context, HttpPayloadWriter<Buffer> writer, ObjectNode result)
            throws IOException {
        String message = KvCalls.object().set("result", result) + "\n";
        writer.write(context.executionContext().bufferAllocator().fromUtf8(message));
        writer.flush();
    }

    @Override
    public void close() {
        expiry.shutdownNow();
        server.close();
    }
}
