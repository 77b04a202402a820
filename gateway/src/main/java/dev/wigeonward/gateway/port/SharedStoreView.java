package dev.wigeonward.gateway.port;

import java.util.List;

/** Local view of the store that entries send to each other. All methods run on the event loop. */
public interface SharedStoreView {
    /** Age reported if there is no view, in milliseconds. */
    long NO_VIEW_AGE_MILLIS = 1L << 31;

    /**
     * Returns the time in milliseconds since the upstreams in this view were read from the store, by this process or by
     * a peer.
     */
    long viewAgeMillis();

    /** Returns a hash of the upstreams in this view. */
    long hash();

    /** Returns the items of this view, to be sent to a peer. */
    List<Item> items();

    /** Merges a peer's view into this one, as far as the peer's is newer. */
    void mergeView(List<Item> items, long ageMillis);

    /**
     * Returns the time in milliseconds since this process itself last read the upstreams or the configuration,
     * whichever was read earlier.
     */
    long ownReadAgeMillis();

    /** Reports the hash and age of a peer's view. A view with an equal hash takes the lower age of the two. */
    void onPeerView(long hash, long ageMillis);

    /**
     * Reports the time since a peer with precedence has read the store. While that time is short, this process may
     * leave reading the store to the peer.
     */
    void onPeerRead(long readAgeMillis);

    /** Reports that a peer has a newer active configuration than this process. */
    void onNewerConfiguration();

    /** Key, value and revision of one entry in the store. */
    record Item(String key, byte[] value, long revision) {}
}
