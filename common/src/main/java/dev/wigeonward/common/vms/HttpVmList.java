package dev.wigeonward.common.vms;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import dev.wigeonward.common.http.SingleHostClients;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;

/**
 * VM list that polls the platform over HTTP for changes since the last version. The time between polls is random, from
 * half of the configured mean to one and a half times the mean.
 */
public final class HttpVmList implements VmList {
    private static final System.Logger LOG = System.getLogger(HttpVmList.class.getName());
    private static final int STATUS_OK = 200;

    private final VmListOptions options;
    private final ScheduledExecutorService thread;
    private final RandomGenerator random;
    private final HttpClient client;
    private final List<Consumer<VmSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile VmSnapshot snapshot = VmSnapshot.empty();
    private volatile boolean closed;
    private boolean failing;

    private HttpVmList(VmListOptions options, ScheduledExecutorService thread, RandomGenerator random) {
        this.options = options;
        this.thread = thread;
        this.random = random;
        this.client = SingleHostClients.create("vms", options.address());
    }

    /** Returns a list and starts polling it. Listeners are called on the given thread. */
    public static HttpVmList start(VmListOptions options, ScheduledExecutorService thread, RandomGenerator random) {
        HttpVmList list = new HttpVmList(options, thread, random);
        thread.execute(list::poll);
        return list;
    }

    @Override
    public VmSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public void subscribe(Consumer<VmSnapshot> listener) {
        thread.execute(() -> {
            listeners.add(listener);
            if (snapshot.version() > 0) {
                report(listener, snapshot);
            }
        });
    }

    private void poll() {
        if (closed) {
            return;
        }
        client.request(client.get("/v1/vms?since=" + snapshot.version()))
                .timeout(Duration.ofMillis(options.callTimeoutMillis()))
                .subscribe(
                        response -> thread.execute(() -> onAnswer(response)),
                        failure -> thread.execute(() -> onFailure(failure)));
    }

    private void onAnswer(HttpResponse response) {
        try {
            if (response.status().code() != STATUS_OK) {
                throw new IOException("VM list answered with status " + response.status() + ", expected 200");
            }
            VmSnapshot next =
                    VmListAnswer.apply(snapshot, response.payloadBody().toString(StandardCharsets.UTF_8));
            failing = false;
            boolean changed = !next.equals(snapshot);
            snapshot = next;
            if (changed) {
                listeners.forEach(listener -> report(listener, next));
            }
            schedulePoll();
        } catch (IOException e) {
            onFailure(e);
        }
    }

    /** Calls a listener, whose failure must neither end the polling nor affect the other listeners. */
    private static void report(Consumer<VmSnapshot> listener, VmSnapshot list) {
        try {
            listener.accept(list);
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "a listener failed to process version " + list.version() + " of the VM list", e);
        }
    }

    /** Keeps the last list and schedules the next poll. Only the first of several failures in sequence is logged. */
    private void onFailure(Throwable failure) {
        if (!failing && !closed) {
            LOG.log(Level.WARNING, "polling the VM list failed, the last list is kept: {0}", failure);
        }
        failing = true;
        schedulePoll();
    }

    private void schedulePoll() {
        if (!closed) {
            long waitMillis = options.pollMillis() / 2 + random.nextLong(options.pollMillis() + 1);
            thread.schedule(this::poll, waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        closed = true;
        client.closeAsync().subscribe();
    }
}
