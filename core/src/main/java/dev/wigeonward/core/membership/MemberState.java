package dev.wigeonward.core.membership;

/** State of one incarnation of an upstream as seen by one entry. Only a live one gets new work. */
public enum MemberState {
    /** Listed; no link has been up yet. */
    JOINING,
    /** Its link is up and carries frames. */
    LIVE,
    /** Its link is silent or down; a new connection is being opened. */
    SUSPECT,
    /** It or the VM list announced that it leaves; final for this incarnation. */
    LEAVING,
    /** Neither listed nor reachable, or no longer among those that the entry links to. */
    DEAD,
    /** A newer incarnation took its place. */
    REPLACED
}
