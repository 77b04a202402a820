package dev.wigeonward.agent.runtime;

import java.util.Arrays;

import com.google.common.base.Preconditions;

/** The output of a run from the lowest offset that can still be requested. */
final class OutputBuffer {
    private static final int FIRST_CAPACITY_BYTES = 1_024;
    private static final int TAIL_BYTES = 2_048;

    private byte[] data = new byte[FIRST_CAPACITY_BYTES];
    private int lengthBytes;
    private long baseBytes;

    void append(byte[] part) {
        if (lengthBytes + part.length > data.length) {
            data = Arrays.copyOf(data, Math.max(data.length * 2, lengthBytes + part.length));
        }
        System.arraycopy(part, 0, data, lengthBytes, part.length);
        lengthBytes += part.length;
    }

    /** Returns the bytes from one offset of the whole output, inclusive, to another, exclusive. */
    byte[] slice(long fromBytes, long toBytes) {
        Preconditions.checkArgument(
                fromBytes >= baseBytes, "start offset is %s, expected at least %s", fromBytes, baseBytes);
        Preconditions.checkArgument(
                toBytes <= baseBytes + lengthBytes,
                "end offset is %s, expected at most %s",
                toBytes,
                baseBytes + lengthBytes);
        return Arrays.copyOfRange(data, (int) (fromBytes - baseBytes), (int) (toBytes - baseBytes));
    }

    /** Drops the bytes below an offset. */
    void trim(long uptoBytes) {
        int dropBytes = (int) Math.min(lengthBytes, uptoBytes - baseBytes);
        if (dropBytes <= 0) {
            return;
        }
        System.arraycopy(data, dropBytes, data, 0, lengthBytes - dropBytes);
        lengthBytes -= dropBytes;
        baseBytes += dropBytes;
    }

    /** Returns the last bytes of the output, at most {@value #TAIL_BYTES}, as far as they were not dropped. */
    byte[] tail() {
        return Arrays.copyOfRange(data, Math.max(0, lengthBytes - TAIL_BYTES), lengthBytes);
    }
}
