package dev.wigeonward.core.revision;

/** What the relay of one process reacts to. */
public sealed interface RelayEvent {
    /** A link to a peer is up. */
    record LinkUp(String peer) implements RelayEvent {}

    /** The link to a peer was lost or is silent. */
    record LinkDown(String peer) implements RelayEvent {}

    /** A heartbeat told the number in force at a peer; the hash is empty if the frame did not carry one. */
    record PeerHeartbeat(String peer, long number, String hash) implements RelayEvent {}

    /** A peer has adopted a revision. */
    record Offered(String peer, long number, String hash) implements RelayEvent {}

    /** A peer asks for the revision in force here; it has the given one, or 0 to get the whole text. */
    record Requested(String peer, long haveNumber, String haveHash) implements RelayEvent {}

    /** A peer sent changed lines. */
    record DeltaArrived(String peer, RevisionDelta delta) implements RelayEvent {}

    /** A peer sent a part of a whole text. */
    record SnapshotPartArrived(String peer, SnapshotPart part) implements RelayEvent {}

    /** The store answered a read of head. */
    record StoreRead(RevisionStore.HeadResult result) implements RelayEvent {}

    /** Time passed. */
    record Tick() implements RelayEvent {}
}
