package dev.wigeonward.core.rollout;

import java.util.Objects;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.order.Order;

/** An order that is written to the rollout record before it is sent. */
public record OrderIntent(String orderId, String upstreamId, Order.Kind kind, String model, String version) {
    public OrderIntent {
        Preconditions.checkArgument(!orderId.isEmpty(), "orderId must not be empty");
        Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId must not be empty");
        Objects.requireNonNull(kind, "kind");
    }

    Order toOrder(long fencingNumber) {
        return new Order(fencingNumber, orderId, kind, model, version, "");
    }
}
