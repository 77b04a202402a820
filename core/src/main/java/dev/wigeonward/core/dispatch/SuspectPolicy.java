package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.request.RequestSpec;

/** Policy that limits the dispatch of requests that were running on upstreams when these died. */
public interface SuspectPolicy {
    /** Decision on a request. */
    enum Decision {
        /** The request may be dispatched. */
        PASS,
        /** The request is refused for now, because a suspect request may run on only one upstream at a time. */
        WAIT,
        /** The request is refused. */
        REFUSE
    }

    /** Returns the decision on a request that arrives or is about to be dispatched. */
    Decision decide(RequestSpec request, long nowMillis);

    /** Records that the request was dispatched. */
    void recordDispatch(RequestSpec request, long nowMillis);

    /** Records that a dispatch of the request ended. */
    void recordEnd(RequestSpec request, long nowMillis);

    /** Returns a policy that passes every request. */
    static SuspectPolicy allowAll() {
        return new SuspectPolicy() {
            @Override
            public Decision decide(RequestSpec request, long nowMillis) {
                return Decision.PASS;
            }

            @Override
            public void recordDispatch(RequestSpec request, long nowMillis) {}

            @Override
            public void recordEnd(RequestSpec request, long nowMillis) {}
        };
    }
}
