package dev.wigeonward.core.suspect;

/** What the deaths of upstreams allow for a request. */
public enum Suspicion {
    /** No limit. */
    NONE,
    /** One upstream died while the request ran; no second upstream may run it at the same time. */
    ONE_AT_A_TIME,
    /** Two or more upstreams died while it ran; it is refused and has not run. */
    REFUSED
}
