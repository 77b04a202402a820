package dev.wigeonward.core.dispatch;

/** Limits how often requests that provably did not run are dispatched again. */
public interface RetryPermits {
    /** Records the arrival of a request. */
    void onRequest(long nowMillis);

    /** Acquires a permit for one retry; returns false if none is available. */
    boolean tryAcquire(long nowMillis);

    /** Returns an instance that permits every retry. */
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
