package dev.wigeonward.common.store;

import java.util.List;

/** Receives what a watch reports, in order of revisions, on the store's thread. */
public interface WatchListener {
    /** Called with changes up to a revision; a change is reported once. */
    void changed(List<Change> changes, long revision);

    /**
     * Called when changes were lost, because the service no longer has them or was restored from an older state; the
     * watch goes on from the given revision. The listener reads the keys again.
     */
    void compacted(long revision);

    /** Called when the watch is connected or cut. */
    default void connected(boolean isConnected) {}
}
