package dev.wigeonward.core.deployment;

/** Kind of a route, which determines whether its requests may run more than once. */
public enum RouteKind {
    /** Requests may run more than once. */
    SAFE,
    /** A request runs at most once for each attempt of the caller. */
    UNSAFE,
    /** A request is answered with a stream of events and runs at most once unless the route is resumable. */
    STREAMING
}
