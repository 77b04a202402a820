package dev.wigeonward.agent.runtime;

import java.util.Arrays;

import com.google.common.base.Preconditions;

/** Output of a run from the lowest offset that may still be asked for. */
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

    /** Returns the bytes between two offsets of the whole output. */
    byte[] slice(long fromBytes, long toBytes) {
        Preconditions.checkArgument(fromBytes >= baseBytes, "offset %s is below %s", fromBytes, baseBytes);
        Preconditions.checkArgument(toBytes <= baseBytes + lengthBytes, "offset %s is above the output", toBytes);
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

    /** Returns the last bytes of the output, as far as they are kept. */
    byte[] tail() {
        return Arrays.copyOfRange(data, Math.max(0, lengthBytes - TAIL_BYTES), lengthBytes);
    }
}
