package dev.wigeonward.gateway.port;

import java.util.List;
import java.util.Optional;

import com.google.common.base.Preconditions;

/**
 * Local view of the store that entries send to each other. It consists of the upstreams, of which the latest list
 * counts, and of control items, of which the latest revision of each counts: the configuration, rollout orders and
 * rollout states. All methods run on the event loop.
 */
public interface SharedStoreView {
    /** Age reported if there is no view, in milliseconds. */
    long NO_VIEW_AGE_MILLIS = 1L << 31;

    /**
     * Returns the time in milliseconds since the upstreams in this view were read from the store, by this process or by
     * a peer. It says nothing about the control items.
     */
    long viewAgeMillis();

    /** Returns a fingerprint of the upstreams in this view, or 0 if there is no view yet. */
    long upstreamsFingerprint();

    /** Returns a fingerprint of the control items in this view. */
    long controlFingerprint();

    /** Returns what a peer with the given part of a view lacks. */
    View viewFor(Held held);

    /** Returns what this process holds, to be sent with a request for a peer's view. */
    Held held();

    /** Merges a peer's view into this one, as far as the peer's is newer. */
    void mergeView(View view);

    /**
     * Returns the time in milliseconds since this process itself last read the upstreams or the control items,
     * whichever was read earlier.
     */
    long ownReadAgeMillis();

    /**
     * Reports the fingerprint of a peer's upstreams and their age. If they are the same as in this view, its age
     * becomes the lower one of the two.
     */
    void onPeerUpstreams(long upstreamsFingerprint, long ageMillis);

    /**
     * Reports the time since a peer with precedence has read the store. While that time is short, this process may
     * leave reading the store to the peer.
     */
    void onPeerRead(long readAgeMillis);

    /**
     * Reports that a peer was heard.
     *
     * @param controlFingerprint fingerprint of the control items that it holds, or 0 if the message states none
     */
    default void onPeerHeard(String peer, long controlFingerprint) {}

    /** Reports whether any peer holds control items that this process lacks. */
    void onPeersAhead(boolean ahead);

    /**
     * One item of the store.
     *
     * @param value value, or empty if the item was removed at the revision
     */
    record Item(String key, Optional<byte[]> value, long revision) {}

    /**
     * Part of a view that one entry sends to another.
     *
     * @param items items, among them all upstreams if they are included
     * @param includesUpstreams whether the upstreams are included
     * @param ageMillis time since the upstreams were read from the store
     * @param controlFingerprint fingerprint of all control items that the sender holds
     */
    record View(List<Item> items, boolean includesUpstreams, long ageMillis, long controlFingerprint) {
        public View {
            Preconditions.checkArgument(ageMillis >= 0, "ageMillis must not be negative but is %s", ageMillis);
            items = List.copyOf(items);
        }
    }

    /**
     * What an entry holds when it requests the view of a peer.
     *
     * @param configurationVersion version of the active configuration, or 0 if there is none
     * @param upstreamsFingerprint fingerprint of the upstreams, or 0 if there is no view
     */
    record Held(long configurationVersion, long upstreamsFingerprint) {}
}
