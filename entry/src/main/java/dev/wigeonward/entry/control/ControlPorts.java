package dev.wigeonward.entry.control;

import java.time.Clock;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The adapters that the control plane uses.
 *
 * @param moveStore records of version moves
 * @param lease fencing number of the controller lease while it is held for sure
 * @param controllerCandidate says whether this entry seeks the controller lease
 * @param headWatch watch on the newest revision
 * @param spend counts of what workspaces spend
 * @param drainLimitMillis longest wait for requests at a graceful shutdown
 */
public record ControlPorts(
        String entryId,
        Clock clock,
        MoveStore moveStore,
        Supplier<OptionalLong> lease,
        Consumer<Boolean> controllerCandidate,
        HeadWatch headWatch,
        SpendDuty spend,
        long drainLimitMillis) {
    public ControlPorts {
        Objects.requireNonNull(entryId, "entryId");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(moveStore, "moveStore");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(controllerCandidate, "controllerCandidate");
        Objects.requireNonNull(headWatch, "headWatch");
        Objects.requireNonNull(spend, "spend");
    }
}
