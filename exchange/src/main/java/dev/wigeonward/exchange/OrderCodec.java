package dev.wigeonward.exchange;

import java.util.Optional;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.order.OrderResult;
import dev.wigeonward.wire.generated.Frame;

/** Converts orders and their results to frames and back. */
public final class OrderCodec {
    private OrderCodec() {}

    /** Returns the frame that carries an order. */
    public static Frame toFrame(Order order) {
        return Frame.newBuilder()
                .setOrder(dev.wigeonward.wire.generated.Order.newBuilder()
                        .setFencingNumber(order.fencingNumber())
                        .setOrderId(order.orderId())
                        .setKind(toMessageKind(order.kind()))
                        .setModel(order.model())
                        .setVersion(order.version())
                        .setRole(order.role()))
                .build();
    }

    private static dev.wigeonward.wire.generated.Order.Kind toMessageKind(Order.Kind kind) {
        return switch (kind) {
            case LOAD -> dev.wigeonward.wire.generated.Order.Kind.LOAD;
            case UNLOAD -> dev.wigeonward.wire.generated.Order.Kind.UNLOAD;
            case ROLE -> dev.wigeonward.wire.generated.Order.Kind.ROLE;
        };
    }

    /** Returns the order in a message, or empty if the message is malformed. */
    public static Optional<Order> toOrder(dev.wigeonward.wire.generated.Order message) {
        Order.Kind kind =
                switch (message.getKind()) {
                    case LOAD -> Order.Kind.LOAD;
                    case UNLOAD -> Order.Kind.UNLOAD;
                    case ROLE -> Order.Kind.ROLE;
                    default -> null;
                };
        if (kind == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Order(
                    message.getFencingNumber(),
                    message.getOrderId(),
                    kind,
                    message.getModel(),
                    message.getVersion(),
                    message.getRole()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the frame that carries the result of an order. */
    public static Frame toFrame(String orderId, OrderResult result) {
        dev.wigeonward.wire.generated.OrderResult.Builder message =
                dev.wigeonward.wire.generated.OrderResult.newBuilder().setOrderId(orderId);
        if (result instanceof OrderResult.Started) {
            message.setState(dev.wigeonward.wire.generated.OrderResult.State.STARTED);
        } else if (result instanceof OrderResult.Done) {
            message.setState(dev.wigeonward.wire.generated.OrderResult.State.DONE);
        } else if (result instanceof OrderResult.Failed failed) {
            message.setState(dev.wigeonward.wire.generated.OrderResult.State.FAILED)
                    .setMessage(failed.reason());
        } else if (result instanceof OrderResult.Refused refused) {
            message.setState(dev.wigeonward.wire.generated.OrderResult.State.REFUSED)
                    .setMessage(refused.reason())
                    .setHighestFencingNumber(refused.highestFencingNumber());
        }
        return Frame.newBuilder().setOrderResult(message).build();
    }

    /** Returns the result in a message, or empty if its state is not known. */
    public static Optional<OrderResult> toResult(dev.wigeonward.wire.generated.OrderResult message) {
        return switch (message.getState()) {
            case STARTED -> Optional.of(new OrderResult.Started());
            case DONE -> Optional.of(new OrderResult.Done());
            case FAILED -> Optional.of(new OrderResult.Failed(message.getMessage()));
            case REFUSED ->
                Optional.of(new OrderResult.Refused(message.getMessage(), message.getHighestFencingNumber()));
            default -> Optional.empty();
        };
    }
}
