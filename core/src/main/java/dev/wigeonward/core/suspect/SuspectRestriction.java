package dev.wigeonward.core.suspect;

/** Restriction on a request that was running when upstreams died. */
public enum SuspectRestriction {
    /** No restriction. */
    NONE,
    /** One upstream died while the request ran; only one upstream at a time may run it. */
    ONE_AT_A_TIME,
    /** Two or more upstreams died while the request ran; it is refused without being run. */
    REFUSED
}
