package dev.wigeonward.agent.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.order.OrderEffect;
import dev.wigeonward.core.order.OrderEvent;
import dev.wigeonward.core.order.OrderFence;
import dev.wigeonward.exchange.FrameSender;
import dev.wigeonward.exchange.OrderCodec;

/** Executes orders of the controller on the engine if the order fence permits them. */
final class OrderExecutor {
    private static final Logger LOG = System.getLogger(OrderExecutor.class.getName());
    private static final String NO_EXCEPTION = "";

    private final OrderFence fence = new OrderFence();
    private final UpstreamClient upstream;
    private final FencingNumberReader fencingNumbers;
    private final FrameSender sender;
    private final Consumer<Runnable> decisionThread;
    private final Set<String> versions;

    OrderExecutor(
            UpstreamClient upstream,
            FencingNumberReader fencingNumbers,
            FrameSender sender,
            Consumer<Runnable> decisionThread,
            Set<String> versions) {
        this.upstream = upstream;
        this.fencingNumbers = fencingNumbers;
        this.sender = sender;
        this.decisionThread = decisionThread;
        this.versions = new TreeSet<>(versions);
    }

    void onOrder(dev.wigeonward.wire.generated.Order message) {
        OrderCodec.toOrder(message)
                .ifPresentOrElse(
                        order -> handle(new OrderEvent.OrderReceived(order)),
                        () -> LOG.log(Level.WARNING, "ignoring malformed order {0}", message.getOrderId()));
    }

    void onFencingNumber(long fencingNumber) {
        if (fencingNumber > 0) {
            handle(new OrderEvent.FencingNumberReported(fencingNumber));
        }
    }

    /** Replaces the served versions by those that the engine reports, unless it reports none. */
    void onVersions(Set<String> reported) {
        if (!reported.isEmpty()) {
            versions.clear();
            versions.addAll(reported);
        }
    }

    Set<String> versions() {
        return Set.copyOf(versions);
    }

    long highestFencingNumber() {
        return fence.highestFencingNumber();
    }

    private void handle(OrderEvent event) {
        fence.handle(event).forEach(this::apply);
    }

    private void apply(OrderEffect effect) {
        if (effect instanceof OrderEffect.ReadFencingNumber) {
            fencingNumbers.read(found -> decisionThread.accept(() -> handle(
                    found.isPresent()
                            ? new OrderEvent.FencingNumberRead(found.getAsLong())
                            : new OrderEvent.StoreUnavailable())));
        } else if (effect instanceof OrderEffect.RunOrder run) {
            Order order = run.order();
            LOG.log(Level.INFO, "executing order {0}: {1} version {2}", order.orderId(), order.kind(), order.version());
            upstream.executeOrder(order, failure -> decisionThread.accept(() -> onEngineFinished(order, failure)));
        } else if (effect instanceof OrderEffect.Answer answer) {
            // Another entry may have acquired the controller lease, so the answer is sent to all entries.
            sender.sendToOthers(NO_EXCEPTION, OrderCodec.toFrame(answer.orderId(), answer.result()));
        }
    }

    private void onEngineFinished(Order order, String failureReason) {
        if (failureReason.isEmpty() && order.kind() == Order.Kind.LOAD) {
            versions.add(order.version());
        } else if (failureReason.isEmpty() && order.kind() == Order.Kind.UNLOAD) {
            versions.remove(order.version());
        }
        handle(new OrderEvent.EngineFinished(order.orderId(), failureReason));
    }
}
