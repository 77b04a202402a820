package dev.wigeonward.common.store;

/** Learns when this process becomes the controller and when it stops being it; called on the store's thread. */
public interface ControllerListener {
    /** Called with the fencing number of a newly acquired lease. */
    void acquired(long fencingNumber);

    /** Called when the lease is lost, or can no longer be proved. */
    void lost();
}
