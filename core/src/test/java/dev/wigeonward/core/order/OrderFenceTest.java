package dev.wigeonward.core.order;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class OrderFenceTest {
    /** Guards against orders of a former controller that reach the engine, including after a restart of the agent. */
    @Property
    void executedFencingNumbersNeverDecrease(@ForAll @Size(max = 60) List<@IntRange(max = 99) Integer> steps) {
        checkExecutedFencingNumbers(() -> new OrderFence()::handle, steps);
    }

    /** Verifies that the check rejects a fence that submits orders after a restart without reading the store first. */
    @Test
    void checkFailsForFenceThatDoesNotReadTheStoreAfterRestart() {
        List<Integer> steps = List.of(1, 1, 10, 3, 90, 20);
        checkExecutedFencingNumbers(() -> new OrderFence()::handle, steps);
        assertThatThrownBy(() -> checkExecutedFencingNumbers(OrderFenceTest::fenceThatDoesNotReadTheStore, steps))
                .isInstanceOf(AssertionError.class);
    }

    /** Verifies that the check rejects a fence that leaves fencing to the engine. */
    @Test
    void checkFailsForFenceThatIgnoresFencingNumbers() {
        List<Integer> steps = List.of(1, 1, 10, 3, 20);
        checkExecutedFencingNumbers(() -> new OrderFence()::handle, steps);
        assertThatThrownBy(() -> checkExecutedFencingNumbers(() -> OrderFenceTest::submitWithoutFencing, steps))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against an order that runs although the store is unavailable and cannot confirm its fencing number. */
    @Test
    void firstOrderIsRefusedWhileStoreIsDown() {
        OrderFence fence = new OrderFence();
        assertThat(fence.handle(received(5, "a"))).containsExactly(new OrderEffect.ReadFencingNumber());
        assertThat(fence.handle(received(5, "b"))).isEmpty();
        assertThat(fence.handle(new OrderEvent.StoreUnavailable())).hasSize(2).allSatisfy(effect -> assertThat(
                        ((OrderEffect.Answer) effect).result())
                .isInstanceOf(OrderResult.Refused.class));
        assertThat(fence.handle(received(5, "a"))).containsExactly(new OrderEffect.ReadFencingNumber());
    }

    /** Guards against an order of a former controller that runs after the lease of a newer controller has ended. */
    @Test
    void storeWithoutControllerConfirmsNothing() {
        OrderFence fence = new OrderFence();
        fence.handle(received(5, "a"));
        assertThat(fence.handle(new OrderEvent.FencingNumberRead(0)))
                .singleElement()
                .satisfies(effect ->
                        assertThat(((OrderEffect.Answer) effect).result()).isInstanceOf(OrderResult.Refused.class));
        assertThat(fence.handle(received(5, "a"))).containsExactly(new OrderEffect.ReadFencingNumber());
    }

    /** Guards against a load that runs twice because its answer was lost or a later controller repeated it. */
    @Test
    void repeatedOrderIsAnsweredWithoutRunning() {
        OrderFence fence = new OrderFence();
        fence.handle(received(5, "a"));
        assertThat(fence.handle(new OrderEvent.FencingNumberRead(5)))
                .hasSize(2)
                .first()
                .isInstanceOf(OrderEffect.RunOrder.class);
        assertThat(fence.handle(received(6, "a"))).containsExactly(answer("a", new OrderResult.Started()));
        fence.handle(new OrderEvent.EngineFinished("a", ""));
        assertThat(fence.handle(received(6, "a"))).containsExactly(answer("a", new OrderResult.Done()));
        assertThat(fence.handle(received(5, "a"))).singleElement().satisfies(effect -> assertThat(
                        ((OrderEffect.Answer) effect).result())
                .isEqualTo(new OrderResult.Refused("fencing number 5 is lower than the highest seen, 6", 6)));
    }

    /** Guards against unbounded growth of the stored results of finished orders. */
    @Test
    void oldestResultIsRemovedBeyondTheLimit() {
        OrderFence fence = new OrderFence(2);
        fence.handle(new OrderEvent.FencingNumberRead(1));
        for (String id : List.of("a", "b", "c")) {
            fence.handle(received(1, id));
            fence.handle(new OrderEvent.EngineFinished(id, "no memory"));
        }
        assertThat(fence.handle(received(1, "c"))).containsExactly(answer("c", new OrderResult.Failed("no memory")));
        assertThat(fence.handle(received(1, "a"))).first().isInstanceOf(OrderEffect.RunOrder.class);
    }

    /**
     * Simulates elections, orders of current and former controllers, agent restarts and store outages, and fails if an
     * order is submitted to the engine with a lower fencing number than an earlier one.
     *
     * @param steps below 10 an election, below 20 an order of the current controller, below 80 an order of any
     *     controller so far, below 85 the start or end of a store outage, and otherwise a restart of the agent
     */
    private static void checkExecutedFencingNumbers(
            Supplier<Function<OrderEvent, List<OrderEffect>>> fences, List<Integer> steps) {
        Function<OrderEvent, List<OrderEffect>> fence = fences.get();
        long elected = 1;
        boolean storeUp = true;
        long highestExecuted = 0;
        for (int i = 0; i < steps.size(); i++) {
            int step = steps.get(i);
            List<OrderEffect> effects = new ArrayList<>();
            if (step < 10) {
                elected++;
            } else if (step < 20) {
                effects.addAll(fence.apply(received(elected, "o" + i)));
            } else if (step < 80) {
                effects.addAll(fence.apply(received(1 + step % elected, "o" + i)));
            } else if (step < 85) {
                storeUp = !storeUp;
            } else {
                fence = fences.get();
            }
            for (int next = 0; next < effects.size(); next++) {
                if (effects.get(next) instanceof OrderEffect.ReadFencingNumber) {
                    effects.addAll(fence.apply(
                            storeUp ? new OrderEvent.FencingNumberRead(elected) : new OrderEvent.StoreUnavailable()));
                } else if (effects.get(next) instanceof OrderEffect.RunOrder run) {
                    assertThat(run.order().fencingNumber()).isGreaterThanOrEqualTo(highestExecuted);
                    highestExecuted = run.order().fencingNumber();
                    fence.apply(new OrderEvent.EngineFinished(run.order().orderId(), ""));
                }
            }
        }
    }

    private static Function<OrderEvent, List<OrderEffect>> fenceThatDoesNotReadTheStore() {
        OrderFence fence = new OrderFence();
        fence.handle(new OrderEvent.FencingNumberRead(1));
        return fence::handle;
    }

    private static List<OrderEffect> submitWithoutFencing(OrderEvent event) {
        return event instanceof OrderEvent.OrderReceived received
                ? List.of(new OrderEffect.RunOrder(received.order()))
                : List.of();
    }

    private static OrderEvent received(long fencingNumber, String orderId) {
        return new OrderEvent.OrderReceived(new Order(fencingNumber, orderId, Order.Kind.LOAD, "model", "v2", ""));
    }

    private static OrderEffect answer(String orderId, OrderResult result) {
        return new OrderEffect.Answer(orderId, result);
    }
}
