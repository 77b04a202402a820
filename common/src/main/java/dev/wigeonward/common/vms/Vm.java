package dev.wigeonward.common.vms;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.common.base.Preconditions;

/** One VM of the list. */
public record Vm(String id, String role, InetSocketAddress address, String failureDomain, State state) {
    /** What the list says of a VM. */
    public enum State {
        /** The VM runs. */
        LIVE,
        /** The VM will be removed and must get no new work. */
        LEAVING
    }

    public Vm {
        Preconditions.checkArgument(!id.isEmpty(), "VM id is empty");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
    }
}
