package dev.wigeonward.core.deployment;

/** What may be repeated of a route's requests. */
public enum RouteKind {
    /** May run more than once. */
    SAFE,
    /** Runs at most once for each attempt of the caller. */
    UNSAFE,
    /** Answers with events; runs at most once unless the route lets streams resume. */
    STREAMING
}
