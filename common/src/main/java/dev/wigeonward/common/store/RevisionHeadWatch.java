package dev.wigeonward.common.store;

import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import dev.wigeonward.core.revision.RevisionStore;

/**
 * Watch on head for the entries that read the store: reads head once at the start and again after each change that the
 * underlying watch reports. Failed reads are retried with backoff. All state is confined to the store's thread.
 */
public final class RevisionHeadWatch implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(RevisionHeadWatch.class.getName());

    private final KeyValueStore store;
    private final EtcdRevisionStore revisions;
    private final ScheduledExecutorService thread;
    private final Backoff backoff;
    private final Consumer<RevisionStore.HeadResult> listener;
    private AutoCloseable watch = () -> {};
    private boolean closed;
    private boolean reading;
    private boolean changedWhileReading;

    private RevisionHeadWatch(
            KeyValueStore store,
            EtcdRevisionStore revisions,
            ScheduledExecutorService thread,
            RandomGenerator random,
            Consumer<RevisionStore.HeadResult> listener) {
        this.store = store;
        this.revisions = revisions;
        this.thread = thread;
        this.backoff = new Backoff(random);
        this.listener = listener;
    }

    /**
     * Starts a watch. The listener is called on the store's thread with the result of each read, also of failed ones.
     */
    public static RevisionHeadWatch start(
            KeyValueStore store,
            EtcdRevisionStore revisions,
            ScheduledExecutorService thread,
            RandomGenerator random,
            Consumer<RevisionStore.HeadResult> listener) {
        RevisionHeadWatch headWatch = new RevisionHeadWatch(store, revisions, thread, random, listener);
        thread.execute(headWatch::open);
        return headWatch;
    }

    /** Opens the watch from the revision after that of a read, so that no change between the two is missed. */
    private void open() {
        if (closed) {
            return;
        }
        store.get(EtcdRevisionStore.HEAD_KEY).thenAccept(result -> {
            if (!(result instanceof ReadResult.Success<?> read)) {
                listener.accept(new RevisionStore.HeadResult.Unavailable(result.toString()));
                thread.schedule(this::open, backoff.nextMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            if (!closed) {
                watch = store.watch(EtcdRevisionStore.HEAD_KEY, read.revision() + 1, new Listener());
                read();
            }
        });
    }

    private final class Listener implements WatchListener {
        @Override
        public void onChanges(List<KeyChange> changes, long revision) {
            read();
        }

        @Override
        public void onCompacted(long revision) {
            read();
        }
    }

    private void read() {
        if (closed) {
            return;
        }
        if (reading) {
            changedWhileReading = true;
            return;
        }
        reading = true;
        revisions.readHeadAsync().thenAccept(head -> {
            reading = false;
            boolean failed = head instanceof RevisionStore.HeadResult.Unavailable;
            if (failed) {
                thread.schedule(this::read, backoff.nextMillis(), TimeUnit.MILLISECONDS);
            } else {
                backoff.reset();
            }
            if (!closed) {
                listener.accept(head);
            }
            if (changedWhileReading && !failed) {
                changedWhileReading = false;
                read();
            }
        });
    }

    @Override
    public void close() {
        thread.execute(() -> {
            closed = true;
            try {
                watch.close();
            } catch (Exception e) {
                LOG.log(Level.WARNING, "closing the watch on head failed", e);
            }
        });
    }
}
