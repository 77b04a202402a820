package dev.wigeonward.measure.revision;

import dev.wigeonward.core.revision.RelayEffect;

/** Sizes in bytes of the frames that carry revisions, as {@code link.proto} encodes them. */
final class FrameSizes {
    private static final int HASH_BYTES = 32;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int FIELD_OVERHEAD_BYTES = 2;
    // Four bytes for a number or offset of up to 28 bits, and one for the tag of the field.
    private static final int NUMBER_BYTES = 4 + 1;
    private static final int HASH_FIELD_BYTES = HASH_BYTES + FIELD_OVERHEAD_BYTES;
    private static final int ENVELOPE_BYTES = LENGTH_PREFIX_BYTES + 2 * FIELD_OVERHEAD_BYTES;

    /** Size of a heartbeat with revision number and fencing number, without an agent's load report. */
    static final int HEARTBEAT_BYTES = ENVELOPE_BYTES + 2 * NUMBER_BYTES;

    /** Size of a heartbeat that also carries the hash of the revision, as 64 hex digits. */
    static final int HEARTBEAT_WITH_HASH_BYTES = HEARTBEAT_BYTES + 2 * HASH_BYTES + FIELD_OVERHEAD_BYTES;

    private static final int OFFER_BYTES = ENVELOPE_BYTES + NUMBER_BYTES + HASH_FIELD_BYTES;

    private FrameSizes() {}

    /** Returns the size of the frame that an effect sends, or 0 if it sends none. */
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
