package dev.wigeonward.core.schedule;

/** What a member makes of a placement by a coordinator. */
public enum GrantResult {
    /** The request occupies its slot and is to be sent. */
    RECORDED,
    /** The member does not know the lifetime of the upstream, or knows that it is leaving. */
    UNKNOWN_UPSTREAM,
    /** The upstream asked this member for time, which other entries do not learn. */
    UPSTREAM_ASKED_FOR_TIME
}
