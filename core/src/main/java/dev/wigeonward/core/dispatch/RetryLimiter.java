package dev.wigeonward.core.dispatch;

/** Limits how often requests that provably did not run are dispatched again. */
public interface RetryLimiter {
    /** Records the arrival of a request. */
    void recordRequest(long nowMillis);

    /** Acquires a permit for one retry; returns false if none is available. */
    boolean tryAcquire(long nowMillis);

    /** Returns an instance that permits every retry. */
    static RetryLimiter unlimited() {
        return new RetryLimiter() {
            @Override
            public void recordRequest(long nowMillis) {}

            @Override
            public boolean tryAcquire(long nowMillis) {
                return true;
            }
        };
    }
}
