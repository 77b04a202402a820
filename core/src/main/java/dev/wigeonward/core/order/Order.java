package dev.wigeonward.core.order;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * A change that the controller asks of one engine.
 *
 * @param fencingNumber creation revision of the controller key under which the order was sent
 * @param orderId equal for repetitions of the same order, also by a later controller
 * @param kind what to do
 * @param model model served by the engine
 * @param version version to load or unload; empty for a role change
 * @param role new role; empty unless the kind is {@link Kind#ROLE}
 */
public record Order(long fencingNumber, String orderId, Kind kind, String model, String version, String role) {
    public Order {
        Preconditions.checkArgument(fencingNumber > 0, "fencingNumber is %s", fencingNumber);
        Preconditions.checkArgument(!orderId.isEmpty(), "orderId is empty");
        Preconditions.checkArgument(!model.isEmpty(), "model is empty");
        Objects.requireNonNull(kind, "kind");
        Preconditions.checkArgument(kind == Kind.ROLE || !version.isEmpty(), "order %s has no version", orderId);
        Preconditions.checkArgument(kind != Kind.ROLE || !role.isEmpty(), "order %s has no role", orderId);
    }

    /** What an order does. */
    public enum Kind {
        LOAD,
        UNLOAD,
        ROLE
    }
}
