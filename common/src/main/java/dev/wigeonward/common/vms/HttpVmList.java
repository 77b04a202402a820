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

/** Polls the list over HTTP for changes since its last version, at random intervals around the mean. */
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

    /** Returns a list that is polled from now on; listeners are called on the given thread. */
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
                listener.accept(snapshot);
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
                        response -> thread.execute(() -> received(response)),
                        failure -> thread.execute(() -> failed(failure)));
    }

    private void received(HttpResponse response) {
        try {
            if (response.status().code() != STATUS_OK) {
                throw new IOException("answered with " + response.status());
            }
            VmSnapshot next =
                    VmListAnswer.apply(snapshot, response.payloadBody().toString(StandardCharsets.UTF_8));
            failing = false;
            boolean changed = !next.equals(snapshot);
            snapshot = next;
            if (changed) {
                listeners.forEach(listener -> listener.accept(next));
            }
            pollLater();
        } catch (IOException e) {
            failed(e);
        }
    }

    /** The last list stays in force; only the first of several failures is logged. */
    private void failed(Throwable failure) {
        if (!failing && !closed) {
            LOG.log(Level.WARNING, "VM list does not answer: {0}", failure);
        }
        failing = true;
        pollLater();
    }

    private void pollLater() {
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
