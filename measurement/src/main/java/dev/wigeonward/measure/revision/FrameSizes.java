package dev.wigeonward.measure.revision;

import dev.wigeonward.core.revision.RelayEffect;

/** Sizes in bytes of the frames that carry revisions, as {@code link.proto} encodes them. */
final class FrameSizes {
    private static final int HASH_BYTES = 32;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int FIELD_OVERHEAD_BYTES = 2;
    // Numbers and offsets of up to 28 bits.
    private static final int NUMBER_BYTES = 4 + 1;
    private static final int HASH_FIELD_BYTES = HASH_BYTES + FIELD_OVERHEAD_BYTES;
    private static final int ENVELOPE_BYTES = LENGTH_PREFIX_BYTES + 2 * FIELD_OVERHEAD_BYTES;

    /** Revision and fencing number; an agent's load report is not counted here. */
    static final int HEARTBEAT_BYTES = ENVELOPE_BYTES + 2 * NUMBER_BYTES;

    /** The same with the hash of the revision, which this frame carries as 64 hex digits. */
    static final int HEARTBEAT_WITH_HASH_BYTES = HEARTBEAT_BYTES + 2 * HASH_BYTES + FIELD_OVERHEAD_BYTES;

    private static final int OFFER_BYTES = ENVELOPE_BYTES + NUMBER_BYTES + HASH_FIELD_BYTES;

    private FrameSizes() {}

    /** Returns the size of the frame that an effect sends, 0 if it sends none. */
    static long of(RelayEffect effect) {
        if (effect instanceof RelayEffect.SendOffer || effect instanceof RelayEffect.SendRequest) {
            return OFFER_BYTES;
        }
        if (effect instanceof RelayEffect.SendDelta delta) {
            return ENVELOPE_BYTES
                    + 2L * (NUMBER_BYTES + HASH_FIELD_BYTES)
                    + delta.delta().sizeBytes();
        }
        if (effect instanceof RelayEffect.SendSnapshotPart part) {
            return ENVELOPE_BYTES
                    + HASH_FIELD_BYTES
                    + 3L * NUMBER_BYTES
                    + FIELD_OVERHEAD_BYTES
                    + part.part().data().length;
        }
        return 0;
    }
}
