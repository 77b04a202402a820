package dev.wigeonward.core.membership;

import com.google.common.base.Preconditions;

/**
 * A VM of the entry's region, as shown in the VM list.
 *
 * @param id id of the entry, or of the upstream that belongs to the VM's agent
 * @param role type of the process that the VM runs
 * @param pool model or plain service that an agent's upstream serves; empty for an entry
 * @param address numeric IP address and port of the process
 * @param leaving true once the platform plans to remove the VM
 */
public record ListedVm(String id, Role role, String pool, String address, boolean leaving) {
    public ListedVm {
        Preconditions.checkArgument(!id.isEmpty(), "id is empty");
        Preconditions.checkArgument(!address.isEmpty(), "address of %s is empty", id);
        Preconditions.checkArgument(role == Role.ENTRY || !pool.isEmpty(), "pool of agent %s is empty", id);
    }

    /** Type of the process that a VM runs. */
    public enum Role {
        ENTRY,
        AGENT
    }
}
