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
import dev.wigeonward.core.order.OrderGate;
import dev.wigeonward.exchange.FrameSender;
import dev.wigeonward.exchange.OrderFrames;

/** Runs the controller's orders at the engine, as far as the order gate lets them pass. */
final class OrderDuty {
    private static final Logger LOG = System.getLogger(OrderDuty.class.getName());
    private static final String ALL = "";

    private final OrderGate gate = new OrderGate();
    private final UpstreamClient upstream;
    private final FencingNumberReader reader;
    private final FrameSender sender;
    private final Consumer<Runnable> decisionThread;
    private final Set<String> versions;

    OrderDuty(
            UpstreamClient upstream,
            FencingNumberReader reader,
            FrameSender sender,
            Consumer<Runnable> decisionThread,
            Set<String> versions) {
        this.upstream = upstream;
        this.reader = reader;
        this.sender = sender;
        this.decisionThread = decisionThread;
        this.versions = new TreeSet<>(versions);
    }

    void onOrder(dev.wigeonward.wire.generated.Order message) {
        OrderFrames.order(message)
                .ifPresentOrElse(
                        order -> handle(new OrderEvent.OrderReceived(order)),
                        () -> LOG.log(Level.WARNING, "malformed order {0}", message.getOrderId()));
    }

    void onFencingNumber(long fencingNumber) {
        if (fencingNumber > 0) {
            handle(new OrderEvent.FencingSeen(fencingNumber));
        }
    }

    /** Takes over the versions that the engine itself reports. */
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
        return gate.highestFencingNumber();
    }

    private void handle(OrderEvent event) {
        gate.handle(event).forEach(this::carryOut);
    }

    private void carryOut(OrderEffect effect) {
        if (effect instanceof OrderEffect.ReadFencingNumber) {
            reader.read(found -> decisionThread.accept(() -> handle(
                    found.isPresent()
                            ? new OrderEvent.FencingRead(found.getAsLong())
                            : new OrderEvent.StoreUnavailable())));
        } else if (effect instanceof OrderEffect.RunOrder run) {
            Order order = run.order();
            LOG.log(Level.INFO, "order {0}: {1} {2}", order.orderId(), order.kind(), order.version());
            upstream.order(order, failure -> decisionThread.accept(() -> finished(order, failure)));
        } else if (effect instanceof OrderEffect.Answer answer) {
            // The controller may have changed its link, so that all entries get the answer.
            sender.sendToOthers(ALL, OrderFrames.frame(answer.orderId(), answer.result()));
        }
    }

    private void finished(Order order, String failureReason) {
        if (failureReason.isEmpty() && order.kind() == Order.Kind.LOAD) {
            versions.add(order.version());
        } else if (failureReason.isEmpty() && order.kind() == Order.Kind.UNLOAD) {
            versions.remove(order.version());
        }
        handle(new OrderEvent.EngineFinished(order.orderId(), failureReason));
    }
}
