package dev.wigeonward.gateway.port;

import java.util.List;

/** The view of the store that entries hand on to each other. All methods run on the event loop. */
public interface StoreRelay {
    /** Age that stands for no view at all, in milliseconds. */
    long NO_VIEW_MILLIS = 1L << 31;

    /** Returns the time since the upstreams were read from the store, by this process or by the peer it has them from. */
    long ageMillis();

    /** Returns a number that differs, almost surely, between views with different upstreams. */
    long hash();

    /** Returns the items of the view, for a peer. */
    List<Item> items();

    /** Takes over a peer's view, as far as it is newer. */
    void adopt(List<Item> items, long ageMillis);

    /** A peer's view has the given hash and age; a fresh one with the same hash makes a read of the store needless. */
    void onPeerView(long hash, long ageMillis, boolean peerReads);

    /** One item of the store. */
    record Item(String key, byte[] value, long revision) {}
}
