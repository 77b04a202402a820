package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.google.common.base.Preconditions;

/**
 * A part of the UTF-8 text of a revision.
 *
 * @param offsetBytes offset of the part in the text, a multiple of {@link #PART_BYTES}
 * @param totalBytes length of the full text
 * @param data bytes of the part; not copied, so that neither the sender nor the receiver may modify them
 */
public record SnapshotPart(long number, String hash, int offsetBytes, int totalBytes, byte[] data) {
    /** Maximum size of a part; a frame holds at most 1 MiB, and smaller parts let other frames be sent between them. */
    public static final int PART_BYTES = 256 << 10;

    public SnapshotPart {
        Preconditions.checkArgument(
                offsetBytes >= 0, "offset of a snapshot part must not be negative, got %s", offsetBytes);
        Preconditions.checkArgument(
                totalBytes >= 0, "total length of a snapshot must not be negative, got %s", totalBytes);
    }

    /** Returns the parts of a revision's text; an empty text has one empty part. */
    static List<SnapshotPart> partsOf(Revision revision) {
        byte[] text = revision.text().getBytes(StandardCharsets.UTF_8);
        List<SnapshotPart> parts = new ArrayList<>();
        int offset = 0;
        do {
            byte[] data = Arrays.copyOfRange(text, offset, Math.min(text.length, offset + PART_BYTES));
            parts.add(new SnapshotPart(revision.number(), revision.hash(), offset, text.length, data));
            offset += PART_BYTES;
        } while (offset < text.length);
        return parts;
    }
}
