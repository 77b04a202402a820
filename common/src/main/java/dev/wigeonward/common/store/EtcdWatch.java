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
 * Watch that reconnects whenever its connection ends and continues after the last reported revision. All state is
 * confined to the store's thread; the attempt number distinguishes the signals of an earlier connection from those of
 * the current one.
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
        if (!http.tryAcquireCall(CallType.WATCH)) {
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
                .whenOnError(failure -> thread.execute(() -> onConnectionEnded(current, failure.toString())))
                .whenOnComplete(() -> thread.execute(() -> onConnectionEnded(current, "ended by the service")))
                .forEach(buffer -> {
                    byte[] bytes = copy(buffer);
                    thread.execute(() -> onBytes(current, bytes));
                });
    }

    private static byte[] copy(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }

    private void onBytes(long ofAttempt, byte[] bytes) {
        if (closed || ofAttempt != attempt) {
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

    /** Handles one message of the service and returns whether the connection continues. */
    private boolean handle(byte[] message) {
        JsonNode result;
        try {
            result = EtcdHttp.parse(message).path("result");
        } catch (RuntimeException e) {
            onConnectionEnded(attempt, "malformed message: " + e.getMessage());
            return false;
        }
        long compactRevision = result.path("compact_revision").asLong();
        if (compactRevision > 0) {
            nextRevision = Math.max(nextRevision, compactRevision);
            listener.onCompacted(nextRevision);
        }
        if (result.isMissingNode() || result.path("canceled").asBoolean()) {
            onConnectionEnded(attempt, "cancelled by the service");
            return false;
        }
        if (!connected) {
            connected = true;
            backoff.reset();
            listener.onConnectionChanged(true);
            handleRegression(EtcdJson.revision(result));
        }
        reportChanges(result);
        return connected;
    }

    /**
     * Continues from the service's revision if that is older than the requested one. A service that was restored from
     * an older state would otherwise report nothing until it reaches the requested revision again.
     */
    private void handleRegression(long serviceRevision) {
        if (serviceRevision + 1 < nextRevision) {
            nextRevision = serviceRevision + 1;
            listener.onCompacted(serviceRevision);
            onConnectionEnded(
                    attempt, "the service is at revision " + serviceRevision + ", older than the last reported one");
        }
    }

    /** Calls the listener with the changes of a message that were not reported before. */
    private void reportChanges(JsonNode result) {
        List<KeyChange> changes = new ArrayList<>();
        result.path("events").forEach(event -> changes.add(EtcdJson.change(event)));
        // A service that was restored from an older state may send revisions again that were already reported.
        changes.removeIf(change -> change.keyValue().modRevision() < nextRevision);
        if (changes.isEmpty()) {
            return;
        }
        long revision = changes.get(changes.size() - 1).keyValue().modRevision();
        nextRevision = revision + 1;
        listener.onChanges(changes, revision);
    }

    /** Closes the connection of an attempt and schedules the next one; ignores attempts that are over. */
    private void onConnectionEnded(long ofAttempt, String reason) {
        if (closed || ofAttempt != attempt) {
            return;
        }
        attempt++;
        connection.cancel();
        if (connected) {
            connected = false;
            listener.onConnectionChanged(false);
        }
        LOG.log(Level.DEBUG, "watch on prefix {0} ended and will be opened again: {1}", prefix, reason);
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
