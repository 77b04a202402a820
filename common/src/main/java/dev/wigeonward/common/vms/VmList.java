package dev.wigeonward.common.vms;

import java.util.function.Consumer;

/** The platform's list of VMs. It lags, and an absent VM may still run. */
public interface VmList extends AutoCloseable {
    /** Returns the newest list known; it stays as it is while the service does not answer. */
    VmSnapshot snapshot();

    /** Calls the listener with each new list, and with the current one if there is any. */
    void subscribe(Consumer<VmSnapshot> listener);

    @Override
    void close();
}
