package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.Optional;

import dev.wigeonward.core.rules.RuleParser;

/** Assembles the text of one revision from its parts, which may arrive repeatedly and in any order. */
final class SnapshotAssembly {
    private final long number;
    private final String hash;
    private final byte[] text;
    /** Indexes of the parts that have not arrived. */
    private final BitSet missing = new BitSet();

    private SnapshotAssembly(SnapshotPart first) {
        number = first.number();
        hash = first.hash();
        text = new byte[first.totalBytes()];
        missing.set(0, Math.max(1, (text.length + SnapshotPart.PART_BYTES - 1) / SnapshotPart.PART_BYTES));
    }

    /** Creates an assembly without parts for the part's revision; returns empty if the text would exceed the limit. */
    static Optional<SnapshotAssembly> forPart(SnapshotPart part) {
        return part.totalBytes() > RuleParser.MAX_TEXT_BYTES
                ? Optional.empty()
                : Optional.of(new SnapshotAssembly(part));
    }

    /** Returns whether the part belongs to the revision that is being assembled. */
    boolean matches(SnapshotPart part) {
        return number == part.number() && hash.equals(part.hash()) && text.length == part.totalBytes();
    }

    /** Adds a part of this revision; a part with an unaligned offset or an unexpected length is dropped. */
    void add(SnapshotPart part) {
        int index = part.offsetBytes() / SnapshotPart.PART_BYTES;
        int expectedBytes = Math.min(SnapshotPart.PART_BYTES, text.length - part.offsetBytes());
        boolean wellFormed = part.offsetBytes() % SnapshotPart.PART_BYTES == 0 && part.data().length == expectedBytes;
        if (wellFormed && missing.get(index)) {
            System.arraycopy(part.data(), 0, text, part.offsetBytes(), expectedBytes);
            missing.clear(index);
        }
    }

    /** Returns the revision with its hash not yet verified, or empty while parts are missing. */
    Optional<Revision> toRevision() {
        return missing.isEmpty()
                ? Optional.of(Revision.receivedFromPeer(number, hash, new String(text, StandardCharsets.UTF_8)))
                : Optional.empty();
    }
}
