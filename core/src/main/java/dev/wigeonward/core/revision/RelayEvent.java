package dev.wigeonward.core.revision;

/** An input of the relay of one process. */
public sealed interface RelayEvent {
    /** The link to a peer was established. */
    record LinkUp(String peer) implements RelayEvent {}

    /** The link to a peer was lost or timed out. */
    record LinkDown(String peer) implements RelayEvent {}

    /** A heartbeat carried the number in force at a peer; the hash is empty if the frame had none. */
    record HeartbeatArrived(String peer, long number, String hash) implements RelayEvent {}

    /** A peer announced the revision in force there. */
    record OfferArrived(String peer, long number, String hash) implements RelayEvent {}

    /** A peer requested the revision in force here; it has the given one, and number 0 requests the full text. */
    record RequestArrived(String peer, long baseNumber, String baseHash) implements RelayEvent {}

    /** A delta arrived from a peer. */
    record DeltaArrived(String peer, RevisionDelta delta) implements RelayEvent {}

    /** One part of a full text arrived from a peer. */
    record SnapshotPartArrived(String peer, SnapshotPart part) implements RelayEvent {}

    /** A read of the store's head completed, possibly without an answer. */
    record StoreReadCompleted(RevisionStore.HeadResult result) implements RelayEvent {}

    /** A periodic timer fired, so that timeouts are checked. */
    record Tick() implements RelayEvent {}
}
