package dev.wigeonward.entry.store;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.entry.control.HeadWatch;
import dev.wigeonward.platform.store.Change;
import dev.wigeonward.platform.store.EtcdRevisionStore;
import dev.wigeonward.platform.store.KeyValueStore;
import dev.wigeonward.platform.store.WatchListener;

/** Watches the key of the newest revision and reads it at each change and each new connection. */
public final class StoreHeadWatch implements HeadWatch {
    private static final Logger LOG = System.getLogger(StoreHeadWatch.class.getName());

    private final KeyValueStore store;
    private final RevisionStore revisions;
    private final ExecutorService reader;
    private final Consumer<RevisionStore.HeadResult> listener;
    private final AtomicBoolean reading = new AtomicBoolean();
    private AutoCloseable watch;

    /**
     * Returns a watch that is not active.
     *
     * @param reader thread on which head is read, since the call waits for the store
     */
    public StoreHeadWatch(
            KeyValueStore store,
            RevisionStore revisions,
            ExecutorService reader,
            Consumer<RevisionStore.HeadResult> listener) {
        this.store = store;
        this.revisions = revisions;
        this.reader = reader;
        this.listener = listener;
    }

    @Override
    public synchronized void setActive(boolean active) {
        if (active == (watch != null)) {
            return;
        }
        if (active) {
            watch = store.watch(EtcdRevisionStore.HEAD_KEY, 1, new HeadListener());
            read();
            return;
        }
        try {
            watch.close();
        } catch (Exception e) {
            LOG.log(Level.WARNING, "the watch did not close", e);
        }
        watch = null;
    }

    private void read() {
        if (reading.compareAndSet(false, true)) {
            reader.execute(() -> {
                reading.set(false);
                listener.accept(revisions.readHead());
            });
        }
    }

    private final class HeadListener implements WatchListener {
        @Override
        public void changed(List<Change> changes, long revision) {
            read();
        }

        @Override
        public void compacted(long revision) {
            read();
        }

        @Override
        public void connected(boolean isConnected) {
            if (isConnected) {
                read();
            }
        }
    }
}
