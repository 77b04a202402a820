package dev.wigeonward.core.membership;

/** State of one incarnation of an upstream, as seen by one entry. Only a {@link #LIVE} one receives new requests. */
public enum MemberState {
    /** The upstream is listed, and no link to it has been up yet. */
    JOINING,
    /** The link is up and carries frames. */
    LIVE,
    /** The link timed out or was lost; a new connection is being opened. */
    SUSPECT,
    /** The agent announced its departure, or the VM list shows it as leaving; final for this incarnation. */
    LEAVING,
    /** The upstream is neither listed nor linked, or no longer in the subset to which the entry keeps links. */
    DEAD,
    /** A newer incarnation has replaced this one. */
    REPLACED
}
