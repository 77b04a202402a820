package dev.wigeonward.standins.vms;

import com.google.common.base.Preconditions;

/** VM as the interface represents it; the state is {@code live}, {@code leaving} or {@code gone}. */
public record VmRecord(String id, String role, String address, String failureDomain, String state) {
    public VmRecord {
        Preconditions.checkArgument(id != null && !id.isEmpty(), "id is missing");
        Preconditions.checkArgument(
                "live".equals(state) || "leaving".equals(state) || "gone".equals(state),
                "state is %s; expected live, leaving or gone",
                state);
    }

    VmRecord inState(String newState) {
        return new VmRecord(id, role, address, failureDomain, newState);
    }
}
