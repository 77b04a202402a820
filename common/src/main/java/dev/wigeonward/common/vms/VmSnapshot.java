package dev.wigeonward.common.vms;

import java.util.Map;

/** Snapshot of the VM list at a version, with the VMs by id. The version is 0 before the first answer. */
public record VmSnapshot(long version, Map<String, Vm> vms) {
    public VmSnapshot {
        vms = Map.copyOf(vms);
    }

    /** Returns the empty snapshot that is used before the first answer. */
    public static VmSnapshot empty() {
        return new VmSnapshot(0, Map.of());
    }
}
