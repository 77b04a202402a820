package dev.wigeonward.common.vms;

import java.util.Map;

/** The list at a version, by VM id; version 0 before the first answer. */
public record VmSnapshot(long version, Map<String, Vm> vms) {
    public VmSnapshot {
        vms = Map.copyOf(vms);
    }

    /** Returns the list before the first answer. */
    public static VmSnapshot empty() {
        return new VmSnapshot(0, Map.of());
    }
}
