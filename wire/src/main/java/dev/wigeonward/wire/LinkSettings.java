package dev.wigeonward.wire;

/**
 * Timing and size bounds of links.
 *
 * @param maxFrameBytes longest frame that is accepted
 * @param heartbeatIdleMillis time without sent frames after which a heartbeat is sent
 * @param readTimeoutMillis time without received frames after which the link is closed
 * @param connectTimeoutMillis longest time to open a connection
 * @param maxPendingBytes unsent output of a link above which it is closed, as its peer does not read
 */
public record LinkSettings(
        int maxFrameBytes,
        long heartbeatIdleMillis,
        long readTimeoutMillis,
        int connectTimeoutMillis,
        int maxPendingBytes) {
    /** Version of the link protocol; peers with another version are rejected. */
    public static final int PROTOCOL_VERSION = 1;

    public LinkSettings {
        if (heartbeatIdleMillis <= 0 || readTimeoutMillis <= heartbeatIdleMillis) {
            throw new IllegalArgumentException(("readTimeoutMillis is %d and heartbeatIdleMillis is %d, "
                            + "expected 0 < heartbeatIdleMillis < readTimeoutMillis")
                    .formatted(readTimeoutMillis, heartbeatIdleMillis));
        }
    }

    /** Returns the default settings, which are those of section 6 of docs/design.md. */
    public static LinkSettings defaults() {
        return new LinkSettings(1 << 20, 1_000, 2_500, 1_000, 16 << 20);
    }
}
