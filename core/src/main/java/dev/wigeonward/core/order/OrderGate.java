package dev.wigeonward.core.order;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Decides at an agent which orders reach the engine.
 *
 * <p>An order with a lower fencing number than the highest seen is refused here, because some engines ignore the
 * number. The memory of the highest number is lost with the process, so a new gate runs nothing before it has read the
 * number from the store. Not safe for use by several threads.
 */
public final class OrderGate {
    private static final int MAX_WAITING_ORDERS = 64;
    private static final int MAX_RUNNING_ORDERS = 16;
    /** Covers repetitions by the next controllers; a load that is repeated after that is a no-op at the engine. */
    private static final int MAX_REMEMBERED_RESULTS = 1_024;

    private final int rememberedResults;
    private final Map<String, OrderResult> results = new LinkedHashMap<>();
    private final Map<String, Order> running = new LinkedHashMap<>();
    private final Map<String, Order> waiting = new LinkedHashMap<>();
    private long highestFencingNumber;
    private boolean confirmedByStore;
    private boolean readOutstanding;

    public OrderGate() {
        this(MAX_REMEMBERED_RESULTS);
    }

    OrderGate(int rememberedResults) {
        Preconditions.checkArgument(rememberedResults > 0, "rememberedResults is %s", rememberedResults);
        this.rememberedResults = rememberedResults;
    }

    /** Returns what to do about the event, in this order. */
    public List<OrderEffect> handle(OrderEvent event) {
        List<OrderEffect> effects = new ArrayList<>();
        if (event instanceof OrderEvent.OrderReceived received) {
            receive(received.order(), effects);
        } else if (event instanceof OrderEvent.FencingSeen seen) {
            highestFencingNumber = Math.max(highestFencingNumber, seen.fencingNumber());
        } else if (event instanceof OrderEvent.FencingRead read) {
            readAnswered(read.fencingNumber(), effects);
        } else if (event instanceof OrderEvent.StoreUnavailable) {
            refuseWaiting("the store did not confirm the fencing number", effects);
        } else if (event instanceof OrderEvent.EngineFinished finished) {
            finish(finished, effects);
        }
        return effects;
    }

    /** Returns the highest fencing number seen since the start, 0 if none. */
    public long highestFencingNumber() {
        return highestFencingNumber;
    }

    private void receive(Order order, List<OrderEffect> effects) {
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        if (confirmedByStore) {
            decide(order, effects);
            return;
        }
        if (!waiting.containsKey(order.orderId()) && waiting.size() >= MAX_WAITING_ORDERS) {
            refuse(order, "too many orders wait for the store", effects);
            return;
        }
        waiting.merge(order.orderId(), order, (a, b) -> a.fencingNumber() > b.fencingNumber() ? a : b);
        if (!readOutstanding) {
            readOutstanding = true;
            effects.add(new OrderEffect.ReadFencingNumber());
        }
    }

    /**
     * Without a controller in the store nothing shows how old the waiting orders are: a newer lease than theirs may
     * have ended, after its orders ran at an earlier incarnation.
     */
    private void readAnswered(long fencingNumber, List<OrderEffect> effects) {
        if (fencingNumber == 0) {
            refuseWaiting("no controller holds the lease", effects);
            return;
        }
        confirm(fencingNumber, effects);
    }

    private void confirm(long fencingNumber, List<OrderEffect> effects) {
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        confirmedByStore = true;
        readOutstanding = false;
        List<Order> orders = List.copyOf(waiting.values());
        waiting.clear();
        orders.forEach(order -> decide(order, effects));
    }

    private void decide(Order order, List<OrderEffect> effects) {
        if (order.fencingNumber() < highestFencingNumber) {
            refuse(order, "fencing number " + order.fencingNumber() + " is old", effects);
            return;
        }
        OrderResult known =
                running.containsKey(order.orderId()) ? new OrderResult.Started() : results.get(order.orderId());
        if (known != null) {
            effects.add(new OrderEffect.Answer(order.orderId(), known));
            return;
        }
        if (running.size() >= MAX_RUNNING_ORDERS) {
            refuse(order, "too many orders are running", effects);
            return;
        }
        running.put(order.orderId(), order);
        effects.add(new OrderEffect.RunOrder(order));
        effects.add(new OrderEffect.Answer(order.orderId(), new OrderResult.Started()));
    }

    private void refuse(Order order, String reason, List<OrderEffect> effects) {
        effects.add(new OrderEffect.Answer(order.orderId(), new OrderResult.Refused(reason, highestFencingNumber)));
    }

    private void refuseWaiting(String reason, List<OrderEffect> effects) {
        readOutstanding = false;
        List<Order> orders = List.copyOf(waiting.values());
        waiting.clear();
        orders.forEach(order -> refuse(order, reason, effects));
    }

    private void finish(OrderEvent.EngineFinished finished, List<OrderEffect> effects) {
        if (running.remove(finished.orderId()) == null) {
            return;
        }
        OrderResult result = finished.failureReason().isEmpty()
                ? new OrderResult.Done()
                : new OrderResult.Failed(finished.failureReason());
        results.put(finished.orderId(), result);
        if (results.size() > rememberedResults) {
            results.remove(results.keySet().iterator().next());
        }
        effects.add(new OrderEffect.Answer(finished.orderId(), result));
    }
}
