package dev.wigeonward.core.schedule.pace;

/** Change of the pace of one upstream, for the log. */
public record PaceEvent(Kind kind, String upstreamId) {
    /** Kind of change. */
    public enum Kind {
        /** The upstream counts as cold. */
        COLD,
        /** The limit has reached the slots of the upstream. */
        ENDED
    }
}
