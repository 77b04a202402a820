package dev.wigeonward.core.revision;

import java.util.Set;

/** An action that the relay returns for its adapters to perform. */
public sealed interface RelayEffect {
    /** Send a peer the number and hash of the revision in force in this process. */
    record SendOffer(String peer, long number, String hash) implements RelayEffect {}

    /** Request the revision in force at a peer; number 0 requests the full text instead of a delta. */
    record SendRequest(String peer, long baseNumber, String baseHash) implements RelayEffect {}

    /** Send a delta to a peer. */
    record SendDelta(String peer, RevisionDelta delta) implements RelayEffect {}

    /** Send one part of the full text to a peer. */
    record SendSnapshotPart(String peer, SnapshotPart part) implements RelayEffect {}

    /** Apply the adopted revision in this process. */
    record Adopt(Revision revision) implements RelayEffect {}

    /** Report that one number was received with several hashes; an operator has to investigate. */
    record ReportConflict(long number, Set<String> hashes) implements RelayEffect {
        public ReportConflict {
            hashes = Set.copyOf(hashes);
        }
    }

    /** Report that the store returned a lower number than the one in force, which stays in force. */
    record ReportStoreRegression(long storeNumber, long currentNumber) implements RelayEffect {}

    /** Report a text or delta whose hash differs from the hash sent with it; the source is a peer or the store. */
    record ReportHashMismatch(String source, long number) implements RelayEffect {}
}
