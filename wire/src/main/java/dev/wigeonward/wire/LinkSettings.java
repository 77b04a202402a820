package dev.wigeonward.wire;

/**
 * Timing and size bounds of links.
 *
 * @param maxFrameBytes longest frame accepted
 * @param heartbeatMillis quiet time on the sending side after which a heartbeat is sent
 * @param silenceMillis quiet time on the receiving side after which the link is given up
 * @param connectMillis longest time to open a connection and exchange greetings
 * @param maxPendingBytes unsent output of one link above which it is given up, since its peer does not read
 */
public record LinkSettings(
        int maxFrameBytes, long heartbeatMillis, long silenceMillis, int connectMillis, int maxPendingBytes) {
    /** Version of the link protocol; peers with another one are rejected. */
    public static final int PROTOCOL_VERSION = 1;

    public LinkSettings {
        if (heartbeatMillis <= 0 || silenceMillis <= heartbeatMillis) {
            throw new IllegalArgumentException(
                    "silenceMillis %d must exceed heartbeatMillis %d".formatted(silenceMillis, heartbeatMillis));
        }
    }

    /** Returns the settings of section 6 of the design page. */
    public static LinkSettings defaults() {
        return new LinkSettings(1 << 20, 1_000, 2_500, 1_000, 16 << 20);
    }
}
