package dev.wigeonward.core.dispatch;

/** Decides whether a request that provably did not run may be sent to another upstream. */
public interface RetryPermits {
    /** Counts a request that arrived. */
    void onRequest(long nowMillis);

    /** Returns whether one more retry is allowed now, and counts it if so. */
    boolean tryAcquire(long nowMillis);

    /** Returns permits without a limit. */
    static RetryPermits unlimited() {
        return new RetryPermits() {
            @Override
            public void onRequest(long nowMillis) {}

            @Override
            public boolean tryAcquire(long nowMillis) {
                return true;
            }
        };
    }
}
