package dev.wigeonward.standins.vms;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wigeonward.standins.http.StandinHttpServer;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpServiceContext;

/**
 * Stand-in for the VM list. {@code GET /v1/vms?since=<version>} returns the changes since a version, or the full list
 * if the version is from another start of the stand-in. {@code POST /admin/vms} with a {@link VmRecord} registers,
 * changes or (state {@code gone}) removes a VM; {@code POST /admin/lag} with {@code {"lag_millis":N}} delays later
 * changes.
 */
public final class VmsStandin implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;

    private final Clock clock;
    private final Deque<Change> delayed = new ArrayDeque<>();
    private final Map<String, VmRecord> registered = new HashMap<>();
    private final Map<String, Visible> visible = new LinkedHashMap<>();
    private final AtomicLong pollCount = new AtomicLong();
    private final long firstVersion;
    private long version;
    private long lagMillis;
    private StandinHttpServer server;

    private VmsStandin(Clock clock) {
        this.clock = clock;
        // The versions after a later start are higher, so that clients detect a restart of the list.
        this.firstVersion = clock.millis();
        this.version = firstVersion;
    }

    private record Change(long visibleMillis, VmRecord vm) {}

    private record Visible(long version, VmRecord vm) {}

    /** Starts a stand-in; port 0 selects a free port. The lag is measured on the given clock. */
    public static VmsStandin start(InetSocketAddress address, Clock clock) {
        VmsStandin standin = new VmsStandin(clock);
        standin.server = StandinHttpServer.start(address, standin::handle);
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

    /** Sets the delay after which later changes become visible; the order of changes is kept. */
    public synchronized void setLag(long newLagMillis) {
        lagMillis = newLagMillis;
    }

    /** Registers a VM or changes its state. */
    public synchronized void put(VmRecord vm) {
        registered.put(vm.id(), vm);
        delayed.add(new Change(clock.millis() + lagMillis, vm));
    }

    /** Marks a VM as leaving. */
    public synchronized void markLeaving(String id) {
        put(registered(id).inState("leaving"));
    }

    /** Removes a VM. */
    public synchronized void remove(String id) {
        put(registered(id).inState("gone"));
        registered.remove(id);
    }

    private VmRecord registered(String id) {
        VmRecord vm = registered.get(id);
        if (vm == null) {
            throw new IllegalArgumentException("VM " + id + " is not registered");
        }
        return vm;
    }

    /** Returns the number of requests for the list. */
    public long pollCount() {
        return pollCount.get();
    }

    private synchronized ObjectNode since(long since) {
        while (!delayed.isEmpty() && delayed.peek().visibleMillis() <= clock.millis()) {
            VmRecord vm = delayed.remove().vm();
            visible.put(vm.id(), new Visible(++version, vm));
        }
        boolean full = since < firstVersion || since > version;
        List<VmRecord> changed = new ArrayList<>();
        for (Visible each : visible.values()) {
            if (full ? !each.vm().state().equals("gone") : each.version() > since) {
                changed.add(each.vm());
            }
        }
        ObjectNode answer = StandinHttpServer.JSON
                .createObjectNode()
                .put("version", version)
                .put("full", full);
        answer.set("vms", StandinHttpServer.JSON.valueToTree(changed));
        return answer;
    }

    private void handle(
            HttpServiceContext context,
            BlockingStreamingHttpRequest request,
            BlockingStreamingHttpServerResponse response)
            throws IOException {
        byte[] body = StandinHttpServer.body(request);
        try {
            StandinHttpServer.answer(context, response, STATUS_OK, respond(request, body));
        } catch (IllegalArgumentException e) {
            ObjectNode error = StandinHttpServer.JSON.createObjectNode().put("error", String.valueOf(e.getMessage()));
            StandinHttpServer.answer(context, response, STATUS_BAD_REQUEST, error);
        }
    }

    private JsonNode respond(BlockingStreamingHttpRequest request, byte[] body) throws IOException {
        switch (request.path()) {
            case "/v1/vms" -> {
                pollCount.incrementAndGet();
                String since = request.queryParameter("since");
                return since(since == null ? 0 : Long.parseLong(since));
            }
            case "/admin/vms" -> put(StandinHttpServer.JSON.readValue(body, VmRecord.class));
            case "/admin/lag" ->
                setLag(StandinHttpServer.JSON.readTree(body).path("lag_millis").asLong());
            default -> throw new IllegalArgumentException("unknown path " + request.path());
        }
        return StandinHttpServer.JSON.createObjectNode();
    }

    @Override
    public void close() {
        server.close();
    }
}
