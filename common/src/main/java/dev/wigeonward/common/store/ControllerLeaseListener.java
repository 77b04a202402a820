package dev.wigeonward.common.store;

/** Listener for acquiring and losing the controller lease; called on the store's thread. */
public interface ControllerLeaseListener {
    /** Called with the fencing number of a newly acquired lease. */
    void onAcquired(long fencingNumber);

    /** Called when the lease was lost, or when this process can no longer be sure that it holds the lease. */
    void onLost();
}
