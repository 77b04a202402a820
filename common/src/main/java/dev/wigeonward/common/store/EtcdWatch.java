package dev.wigeonward.common.store;

import java.io.ByteArrayOutputStream;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;

/**
 * A watch that is opened again after the last reported revision whenever it ends. All state belongs to the store's
 * thread; an attempt number tells signals of an earlier connection from those of the current one.
 */
final class EtcdWatch implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(EtcdWatch.class.getName());

    private final EtcdHttp http;
    private final ScheduledExecutorService thread;
    private final Backoff backoff;
    private final String prefix;
    private final WatchListener listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long nextRevision;
    private long attempt;
    private boolean connected;
    private boolean closed;
    private Cancellable connection = () -> {};

    EtcdWatch(
            EtcdHttp http,
            ScheduledExecutorService thread,
            Backoff backoff,
            String prefix,
            long fromRevision,
            WatchListener listener) {
        this.http = http;
        this.thread = thread;
        this.backoff = backoff;
        this.prefix = prefix;
        this.nextRevision = fromRevision;
        this.listener = listener;
    }

    void start() {
        thread.execute(this::open);
    }

    private void open() {
        if (closed) {
            return;
        }
        if (!http.takeFromBudget(CallType.WATCH)) {
            thread.schedule(this::open, backoff.nextMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        long current = ++attempt;
        line.reset();
        JsonNode request = EtcdJson.object()
                .set(
                        "create_request",
                        EtcdJson.object()
                                .put("key", EtcdJson.encode(prefix))
                                .put("range_end", EtcdJson.encodedPrefixEnd(prefix))
                                .put("start_revision", Long.toString(nextRevision))
                                .put("progress_notify", true));
        connection = http.watch(request)
                .whenOnError(failure -> thread.execute(() -> ended(current, failure.toString())))
                .whenOnComplete(() -> thread.execute(() -> ended(current, "ended by the service")))
                .forEach(buffer -> {
                    byte[] bytes = copy(buffer);
                    thread.execute(() -> received(current, bytes));
                });
    }

    private static byte[] copy(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }

    private void received(long from, byte[] bytes) {
        if (closed || from != attempt) {
            return;
        }
        for (byte each : bytes) {
            if (each != '\n') {
                line.write(each);
                continue;
            }
            byte[] message = line.toByteArray();
            line.reset();
            if (!handle(message)) {
                return;
            }
        }
    }

    /** Returns whether the connection goes on. */
    private boolean handle(byte[] message) {
        JsonNode result;
        try {
            result = EtcdHttp.parse(message).path("result");
        } catch (RuntimeException e) {
            ended(attempt, "unreadable message: " + e.getMessage());
            return false;
        }
        long compactRevision = result.path("compact_revision").asLong();
        if (compactRevision > 0) {
            nextRevision = Math.max(nextRevision, compactRevision);
            listener.compacted(nextRevision);
        }
        if (result.isMissingNode() || result.path("canceled").asBoolean()) {
            ended(attempt, "cancelled by the service");
            return false;
        }
        if (!connected) {
            connected = true;
            backoff.reset();
            listener.connected(true);
            noticeRegression(EtcdJson.revision(result));
        }
        report(result);
        return connected;
    }

    /** A service that was restored from an older state would stay silent until it reaches the revision asked for. */
    private void noticeRegression(long serviceRevision) {
        if (serviceRevision + 1 < nextRevision) {
            nextRevision = serviceRevision + 1;
            listener.compacted(serviceRevision);
            ended(attempt, "service is at an older revision");
        }
    }

    private void report(JsonNode result) {
        List<Change> changes = new ArrayList<>();
        result.path("events").forEach(event -> changes.add(EtcdJson.change(event)));
        // A service that is restored from an older state may repeat revisions that were reported before.
        changes.removeIf(change -> change.entry().modRevision() < nextRevision);
        if (changes.isEmpty()) {
            return;
        }
        long revision = changes.get(changes.size() - 1).entry().modRevision();
        nextRevision = revision + 1;
        listener.changed(changes, revision);
    }

    private void ended(long from, String reason) {
        if (closed || from != attempt) {
            return;
        }
        attempt++;
        connection.cancel();
        if (connected) {
            connected = false;
            listener.connected(false);
        }
        LOG.log(Level.DEBUG, "watch on {0} ended: {1}", prefix, reason);
        thread.schedule(this::open, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        thread.execute(() -> {
            closed = true;
            connection.cancel();
        });
    }
}
