package dev.wigeonward.core.dispatch;

import dev.wigeonward.core.request.RequestSpec;

/** Holds back requests that were running on upstreams that died. */
public interface SuspectGate {
    /** What to do with a request. */
    enum Ruling {
        /** Run it. */
        PASS,
        /** Refuse it for now, since a suspect runs at one upstream at a time. */
        WAIT,
        /** Refuse it. */
        REFUSE
    }

    /** Returns the ruling for a request that is about to be dispatched. */
    Ruling rule(RequestSpec request, long nowMillis);

    /** Counts a dispatch. */
    void onDispatched(RequestSpec request, long nowMillis);

    /** Counts the end of a dispatch. */
    void onEnded(RequestSpec request, long nowMillis);

    /** Returns a gate that lets all requests pass. */
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
