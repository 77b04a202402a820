package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.request.RequestSpec;

/** Policy that limits the dispatch of requests that were running on upstreams when these died. */
public interface SuspectGate {
    /** Decision on a request. */
    enum Ruling {
        /** The request may be dispatched. */
        PASS,
        /** The request is refused for now, because a suspect request may run on only one upstream at a time. */
        WAIT,
        /** The request is refused. */
        REFUSE
    }

    /** Returns the decision on a request that arrives or is about to be dispatched. */
    Ruling rule(RequestSpec request, long nowMillis);

    /** Records that the request was dispatched. */
    void onDispatched(RequestSpec request, long nowMillis);

    /** Records that a dispatch of the request ended. */
    void onEnded(RequestSpec request, long nowMillis);

    /** Returns a gate that passes every request. */
    static SuspectGate open() {
        return new SuspectGate() {
            @Override
            public Ruling rule(RequestSpec request, long nowMillis) {
                return Ruling.PASS;
            }

            @Override
            public void onDispatched(RequestSpec request, long nowMillis) {}

            @Override
            public void onEnded(RequestSpec request, long nowMillis) {}
        };
    }
}
