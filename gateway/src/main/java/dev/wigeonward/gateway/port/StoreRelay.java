package dev.wigeonward.gateway.port;

import java.util.List;

/** The view of the store that entries hand on to each other. All methods run on the event loop. */
public interface StoreRelay {
    /** Age that stands for no view at all, in milliseconds. */
    long NO_VIEW_MILLIS = 1L << 31;

    /** Returns the time since the upstreams were read from the store, by this process or by a peer. */
    long ageMillis();

    /** Returns a number that differs, almost surely, between views with different upstreams. */
    long hash();

    /** Returns the items of the view, for a peer. */
    List<Item> items();

    /** Takes over a peer's view, as far as it is newer. */
    void adopt(List<Item> items, long ageMillis);

    /** Returns the time since this process itself read both upstreams and configuration. */
    long readAgeMillis();

    /** A peer's view has this hash and age; equal views are as fresh as the fresher of the two. */
    void onPeerView(long hash, long ageMillis);

    /** A peer that goes first has read the store this long ago; this process may leave the reading to it. */
    void onPeerRead(long readAgeMillis);

    /** A peer has a newer configuration in force than this process. */
    void onNewerConfiguration();

    /** One item of the store. */
    record Item(String key, byte[] value, long revision) {}
}
