package dev.wigeonward.common.vms;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.common.base.Preconditions;

/** VM in the platform's list. */
public record Vm(String id, String role, InetSocketAddress address, String failureDomain, State state) {
    /** State of a VM in the list. */
    public enum State {
        /** The VM runs. */
        LIVE,
        /** The VM will be removed and must get no new work. */
        LEAVING
    }

    public Vm {
        Preconditions.checkArgument(!id.isEmpty(), "VM id is empty, expected at least one character");
        Preconditions.checkArgument(!role.isEmpty(), "role of VM %s is empty, expected at least one character", id);
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
    }
}
