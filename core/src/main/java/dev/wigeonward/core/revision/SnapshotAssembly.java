package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.Optional;

import dev.wigeonward.core.rules.RuleParser;

/** Puts the parts of one revision's text together; parts may arrive twice and in any order. */
final class SnapshotAssembly {
    private final long number;
    private final String hash;
    private final byte[] text;
    private final BitSet missing = new BitSet();

    private SnapshotAssembly(SnapshotPart first) {
        number = first.number();
        hash = first.hash();
        text = new byte[first.totalBytes()];
        missing.set(0, Math.max(1, (text.length + SnapshotPart.PART_BYTES - 1) / SnapshotPart.PART_BYTES));
    }

    /** Returns an assembly for the part's revision, or empty if the announced length is over the limit. */
    static Optional<SnapshotAssembly> startedBy(SnapshotPart part) {
        return part.totalBytes() > RuleParser.MAX_TEXT_BYTES
                ? Optional.empty()
                : Optional.of(new SnapshotAssembly(part));
    }

    boolean isFor(SnapshotPart part) {
        return number == part.number() && hash.equals(part.hash()) && text.length == part.totalBytes();
    }

    /** Adds a part of this revision; a part that does not lie on the grid of parts is dropped. */
    void add(SnapshotPart part) {
        int index = part.offsetBytes() / SnapshotPart.PART_BYTES;
        int expectedBytes = Math.min(SnapshotPart.PART_BYTES, text.length - part.offsetBytes());
        boolean onGrid = part.offsetBytes() % SnapshotPart.PART_BYTES == 0 && part.data().length == expectedBytes;
        if (onGrid && missing.get(index)) {
            System.arraycopy(part.data(), 0, text, part.offsetBytes(), expectedBytes);
            missing.clear(index);
        }
    }

    /** Returns the revision once all parts are there; its hash is not verified yet. */
    Optional<Revision> complete() {
        return missing.isEmpty()
                ? Optional.of(Revision.relayed(number, hash, new String(text, StandardCharsets.UTF_8)))
                : Optional.empty();
    }
}
