package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.google.common.base.Preconditions;

/**
 * A piece of a revision's text in UTF-8.
 *
 * @param offsetBytes position of the piece in the text, a multiple of {@link #PART_BYTES}
 * @param totalBytes length of the whole text
 * @param data not copied; neither sender nor receiver may change it
 */
public record SnapshotPart(long number, String hash, int offsetBytes, int totalBytes, byte[] data) {
    /** Largest part; a frame takes at most 1 MiB, and smaller parts let other frames pass between them. */
    public static final int PART_BYTES = 256 << 10;

    public SnapshotPart {
        Preconditions.checkArgument(offsetBytes >= 0, "offsetBytes is %s", offsetBytes);
        Preconditions.checkArgument(totalBytes >= 0, "totalBytes is %s", totalBytes);
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
