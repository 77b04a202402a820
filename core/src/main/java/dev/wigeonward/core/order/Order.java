package dev.wigeonward.core.order;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * An order of the controller to change what one engine serves.
 *
 * @param fencingNumber creation revision of the controller key under which the order was sent
 * @param orderId id of the order; equal in all repetitions of it, including those by a later controller
 * @param kind type of the change
 * @param model model served by the engine
 * @param version version to load or unload; empty for a role change
 * @param role new role; empty unless the kind is {@link Kind#ROLE}
 */
public record Order(long fencingNumber, String orderId, Kind kind, String model, String version, String role) {
    public Order {
        Preconditions.checkArgument(fencingNumber > 0, "fencingNumber must be positive, but is %s", fencingNumber);
        Preconditions.checkArgument(!orderId.isEmpty(), "orderId is empty");
        Preconditions.checkArgument(!model.isEmpty(), "model is empty");
        Objects.requireNonNull(kind, "kind");
        Preconditions.checkArgument(kind == Kind.ROLE || !version.isEmpty(), "order %s has no version", orderId);
        Preconditions.checkArgument(kind != Kind.ROLE || !role.isEmpty(), "order %s has no role", orderId);
    }

    /** Type of the change that an order requests. */
    public enum Kind {
        LOAD,
        UNLOAD,
        ROLE
    }
}
