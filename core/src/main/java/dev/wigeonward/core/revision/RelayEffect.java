package dev.wigeonward.core.revision;

import java.util.Set;

/** What the relay asks its adapters to do. */
public sealed interface RelayEffect {
    /** Tell a peer which revision is in force here. */
    record SendOffer(String peer, long number, String hash) implements RelayEffect {}

    /** Ask a peer for its revision. */
    record SendRequest(String peer, long haveNumber, String haveHash) implements RelayEffect {}

    /** Send changed lines to a peer. */
    record SendDelta(String peer, RevisionDelta delta) implements RelayEffect {}

    /** Send a part of the whole text to a peer. */
    record SendSnapshotPart(String peer, SnapshotPart part) implements RelayEffect {}

    /** Put the revision into force in this process. */
    record Adopt(Revision revision) implements RelayEffect {}

    /** Report one number with several hashes; an operator has to look at it. */
    record ReportConflict(long number, Set<String> hashes) implements RelayEffect {
        public ReportConflict {
            hashes = Set.copyOf(hashes);
        }
    }

    /** Report that the store shows a lower number than the one in force, which stays in force. */
    record ReportStoreRegression(long storeNumber, long numberInForce) implements RelayEffect {}

    /** Report a text or delta that does not have the hash it came with. */
    record ReportHashMismatch(String source, long number) implements RelayEffect {}
}
