package dev.wigeonward.common.store;

import java.util.List;

/** Listener for the reports of a watch; called on the store's thread in the order of revisions. */
public interface WatchListener {
    /** Called with the changes up to a revision. Each change is reported once. */
    void onChanges(List<KeyChange> changes, long revision);

    /**
     * Called when changes were missed, because the service no longer has them or was restored from an older state. The
     * watch continues from the given revision; the listener must read the keys again.
     */
    void onCompacted(long revision);

    /** Called when the watch connects or loses its connection. */
    default void onConnectionChanged(boolean isConnected) {}
}
