package dev.wigeonward.core.order;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * State machine of one agent that decides which orders are submitted to its engine.
 *
 * <p>An order with a lower fencing number than the highest seen is refused here, because some engines ignore the
 * number. The highest number seen is not persisted, so a new fence submits nothing until it has read the number from
 * the store. Not thread-safe.
 */
public final class OrderFence {
    private static final int MAX_WAITING_ORDERS = 64;
    private static final int MAX_RUNNING_ORDERS = 16;
    /** Enough for repetitions by later controllers; a load repeated after its result was removed has no effect. */
    private static final int MAX_RESULTS = 1_024;

    private final int maxResults;
    private final Map<String, OrderResult> results = new LinkedHashMap<>();
    private final Map<String, Order> running = new LinkedHashMap<>();
    private final Map<String, Order> waiting = new LinkedHashMap<>();
    private long highestFencingNumber;
    private boolean confirmedByStore;
    private boolean readOutstanding;

    /** Creates a fence that has not read the fencing number and stores up to {@link #MAX_RESULTS} results. */
    public OrderFence() {
        this(MAX_RESULTS);
    }

    OrderFence(int maxResults) {
        Preconditions.checkArgument(maxResults > 0, "maxResults must be positive, but is %s", maxResults);
        this.maxResults = maxResults;
    }

    /** Applies an event and returns its effects, in the order in which they must be carried out. */
    public List<OrderEffect> handle(OrderEvent event) {
        List<OrderEffect> effects = new ArrayList<>();
        if (event instanceof OrderEvent.OrderReceived received) {
            onOrderReceived(received.order(), effects);
        } else if (event instanceof OrderEvent.FencingNumberReported reported) {
            highestFencingNumber = Math.max(highestFencingNumber, reported.fencingNumber());
        } else if (event instanceof OrderEvent.FencingNumberRead read) {
            onFencingNumberRead(read.fencingNumber(), effects);
        } else if (event instanceof OrderEvent.StoreUnavailable) {
            refuseWaiting("the store did not confirm the fencing number", effects);
        } else if (event instanceof OrderEvent.EngineFinished finished) {
            onEngineFinished(finished, effects);
        }
        return effects;
    }

    /** Returns the highest fencing number seen since the start of the process, or 0 if none. */
    public long highestFencingNumber() {
        return highestFencingNumber;
    }

    private void onOrderReceived(Order order, List<OrderEffect> effects) {
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        if (confirmedByStore) {
            submitOrAnswer(order, effects);
            return;
        }
        if (!waiting.containsKey(order.orderId()) && waiting.size() >= MAX_WAITING_ORDERS) {
            refuse(
                    order,
                    "the limit of %d orders waiting for the store is reached".formatted(MAX_WAITING_ORDERS),
                    effects);
            return;
        }
        waiting.merge(order.orderId(), order, (a, b) -> a.fencingNumber() > b.fencingNumber() ? a : b);
        if (!readOutstanding) {
            readOutstanding = true;
            effects.add(new OrderEffect.ReadFencingNumber());
        }
    }

    /**
     * Handles the fencing number read from the store. Without a controller key in the store, the waiting orders cannot
     * be shown to be current: a newer lease than theirs may have ended after its orders ran at an earlier incarnation
     * of the agent.
     */
    private void onFencingNumberRead(long fencingNumber, List<OrderEffect> effects) {
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
        orders.forEach(order -> submitOrAnswer(order, effects));
    }

    private void submitOrAnswer(Order order, List<OrderEffect> effects) {
        if (order.fencingNumber() < highestFencingNumber) {
            refuse(
                    order,
                    "fencing number %d is lower than the highest seen, %d"
                            .formatted(order.fencingNumber(), highestFencingNumber),
                    effects);
            return;
        }
        OrderResult known =
                running.containsKey(order.orderId()) ? new OrderResult.Started() : results.get(order.orderId());
        if (known != null) {
            effects.add(new OrderEffect.Answer(order.orderId(), known));
            return;
        }
        if (running.size() >= MAX_RUNNING_ORDERS) {
            refuse(order, "the limit of %d running orders is reached".formatted(MAX_RUNNING_ORDERS), effects);
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

    private void onEngineFinished(OrderEvent.EngineFinished finished, List<OrderEffect> effects) {
        if (running.remove(finished.orderId()) == null) {
            return;
        }
        OrderResult result = finished.failureReason().isEmpty()
                ? new OrderResult.Done()
                : new OrderResult.Failed(finished.failureReason());
        results.put(finished.orderId(), result);
        if (results.size() > maxResults) {
            results.remove(results.keySet().iterator().next());
        }
        effects.add(new OrderEffect.Answer(finished.orderId(), result));
    }
}
