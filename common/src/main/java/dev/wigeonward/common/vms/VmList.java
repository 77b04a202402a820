package dev.wigeonward.common.vms;

import java.util.function.Consumer;

/** List of the platform's VMs. It lags behind the actual state, and a VM that is not listed may still run. */
public interface VmList extends AutoCloseable {
    /** Returns the last list received; it does not change while the service does not answer. */
    VmSnapshot snapshot();

    /** Calls the listener with the current list, if there is one, and with each new list. */
    void subscribe(Consumer<VmSnapshot> listener);

    @Override
    void close();
}
