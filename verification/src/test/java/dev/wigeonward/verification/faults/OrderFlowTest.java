package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.order.OrderEffect;
import dev.wigeonward.core.order.OrderEvent;
import dev.wigeonward.core.order.OrderFence;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates two controllers that send orders to one engine through the production order fence, with faults at each
 * step.
 */
class OrderFlowTest {
    private static final long LEASE_MILLIS = 10_000;

    enum OrderStep {
        LEASE_ACQUIRED,
        ORDER_SENT,
        ORDER_ARRIVED,
        FENCE_READ,
        FENCE_ANSWERED,
        ORDER_RUN,
        ORDER_FINISHED
    }

    enum OrderFault {
        NONE,
        AGENT_REPLACED,
        AGENT_REPLACED_LATER,
        CONTROLLER_PAUSED_PAST_LEASE,
        CONTROLLER_KILLED,
        LEASE_LAPSED,
        STORE_DOWN,
        STORE_SLOW,
        STORE_REPLY_LOST,
        ORDERS_LATE,
        ORDERS_CROSSED,
        ORDERS_DUPLICATED,
        ENGINE_SLOW,
        CONTROLLERS_RACING
    }

    /** Guards against an engine that runs an order of a former controller after one of its successor. */
    @ParameterizedTest(name = "{0} and {1}")
    @MethodSource("pairs")
    void orderWithOldNumberNeverFollowsNewerOne(OrderFault first, OrderFault second) {
        for (OrderStep step : OrderStep.values()) {
            Scenario scenario = new Scenario(OrderFence::new, step, first, second);
            assertThat(scenario.simulate())
                    .as("%s, then %s at %s", first, second, step)
                    .isEmpty();
        }
    }

    static Stream<Arguments> pairs() {
        return Arrays.stream(OrderFault.values())
                .flatMap(first -> Arrays.stream(OrderFault.values()).map(second -> Arguments.of(first, second)));
    }

    /** Verifies that the check fails for a fence that does not read the fencing number from the store on restart. */
    @Test
    void checkFailsForGateThatTrustsItsEmptyMemory() {
        Supplier<OrderFence> trusting = () -> {
            OrderFence fence = new OrderFence();
            fence.handle(new OrderEvent.FencingNumberRead(1));
            return fence;
        };
        OrderStep step = OrderStep.ORDER_FINISHED;
        OrderFault[] faults = {OrderFault.CONTROLLER_PAUSED_PAST_LEASE, OrderFault.AGENT_REPLACED_LATER};
        assertThat(new Scenario(OrderFence::new, step, faults[0], faults[1]).simulate())
                .isEmpty();
        assertThat(new Scenario(trusting, step, faults[0], faults[1]).simulate())
                .isNotEmpty();
    }

    /** Two controllers, each of which sends an order every two seconds while it believes it holds the lease. */
    private static final class Scenario {
        private final EventScheduler scheduler = new EventScheduler();
        private final Supplier<OrderFence> fenceFactory;
        private final OrderStep faultStep;
        private final List<OrderFault> faults;
        private final List<Order> executed = new ArrayList<>();
        private final Map<Integer, Long> believedNumbers = new HashMap<>();
        private final Map<Integer, Long> pausedUntil = new HashMap<>();
        private OrderFence fence;
        private int agentStarts;
        private long leaseNumber;
        private int leaseHolder;
        private long leaseEndMillis;
        private long lastNumber;
        private boolean faultsInjected;
        private long storeDownUntilMillis;
        private long storeDelayMillis = 1;
        private boolean nextReplyLost;
        private long orderDelayMillis = 1;
        private boolean duplicated;
        private long engineMillis = 100;
        private int orders;

        private Scenario(Supplier<OrderFence> fenceFactory, OrderStep faultStep, OrderFault first, OrderFault second) {
            this.fenceFactory = fenceFactory;
            this.faultStep = faultStep;
            this.faults = List.of(first, second);
            this.fence = fenceFactory.get();
        }

        private List<String> simulate() {
            scheduleController(1, 0);
            scheduleController(2, 700);
            scheduler.runFor(60_000);
            List<String> violations = new ArrayList<>();
            for (int i = 1; i < executed.size(); i++) {
                if (executed.get(i).fencingNumber() < executed.get(i - 1).fencingNumber()) {
                    violations.add(executed.get(i) + " after " + executed.get(i - 1));
                }
            }
            if (executed.isEmpty()) {
                violations.add("the engine ran no order");
            }
            return violations;
        }

        private void reached(OrderStep step, int controller) {
            if (faultsInjected || step != faultStep) {
                return;
            }
            faultsInjected = true;
            faults.forEach(fault -> inject(fault, controller));
        }

        private void inject(OrderFault fault, int controller) {
            switch (fault) {
                case AGENT_REPLACED -> restartAgent();
                case AGENT_REPLACED_LATER -> {
                    scheduler.after(12_700, this::restartAgent);
                    scheduler.after(14_700, this::restartAgent);
                }
                case CONTROLLER_PAUSED_PAST_LEASE -> pausedUntil.put(controller, scheduler.now() + 15_000);
                case CONTROLLER_KILLED -> pausedUntil.put(controller, Long.MAX_VALUE);
                case LEASE_LAPSED -> {
                    leaseEndMillis = scheduler.now();
                    storeDownUntilMillis = Math.max(storeDownUntilMillis, scheduler.now() + 500);
                }
                case STORE_DOWN -> storeDownUntilMillis = scheduler.now() + 12_000;
                case STORE_SLOW -> storeDelayMillis = 2_000;
                case STORE_REPLY_LOST -> nextReplyLost = true;
                case ORDERS_LATE -> orderDelayMillis = 11_000;
                case ORDERS_CROSSED -> orderDelayMillis = -1;
                case ORDERS_DUPLICATED -> duplicated = true;
                case ENGINE_SLOW -> engineMillis = 8_000;
                case CONTROLLERS_RACING -> {
                    leaseEndMillis = scheduler.now();
                    renew(1);
                    renew(2);
                }
                default -> {
                    // No fault.
                }
            }
        }

        private void restartAgent() {
            agentStarts++;
            fence = fenceFactory.get();
        }

        private void scheduleController(int id, long delayMillis) {
            scheduler.after(delayMillis, () -> {
                long resumeMillis = pausedUntil.getOrDefault(id, 0L);
                if (resumeMillis == Long.MAX_VALUE) {
                    return;
                }
                if (resumeMillis > scheduler.now()) {
                    // An order decided before the pause is sent after it, with the old fencing number.
                    long believedNumber = believedNumbers.getOrDefault(id, 0L);
                    scheduler.after(resumeMillis - scheduler.now(), () -> send(id, believedNumber));
                    scheduleController(id, resumeMillis - scheduler.now() + 1);
                    return;
                }
                renew(id);
                send(id, believedNumbers.getOrDefault(id, 0L));
                scheduleController(id, 2_000);
            });
        }

        /** Acquires or renews the lease; during an outage of the store the believed fencing number does not change. */
        private void renew(int id) {
            if (scheduler.now() < storeDownUntilMillis) {
                return;
            }
            boolean free = scheduler.now() >= leaseEndMillis;
            if (free) {
                leaseNumber = ++lastNumber;
                leaseHolder = id;
                reached(OrderStep.LEASE_ACQUIRED, id);
            }
            if (leaseHolder == id) {
                leaseEndMillis = scheduler.now() + LEASE_MILLIS;
                believedNumbers.put(id, leaseNumber);
            } else {
                believedNumbers.remove(id);
            }
        }

        private void send(int id, long number) {
            if (number == 0) {
                return;
            }
            Order order = new Order(number, "o" + ++orders, Order.Kind.LOAD, "model", "v2", "");
            reached(OrderStep.ORDER_SENT, id);
            long delayMillis = orderDelayMillis < 0 ? 1 + 4_000 * (orders % 2) : orderDelayMillis;
            scheduler.after(delayMillis, () -> arrive(order, id));
            if (duplicated) {
                scheduler.after(delayMillis + 12_500, () -> arrive(order, id));
            }
        }

        private void arrive(Order order, int id) {
            reached(OrderStep.ORDER_ARRIVED, id);
            handle(new OrderEvent.OrderReceived(order), id);
        }

        private void handle(OrderEvent event, int id) {
            int starts = agentStarts;
            for (OrderEffect effect : fence.handle(event)) {
                if (starts != agentStarts) {
                    return;
                }
                if (effect instanceof OrderEffect.ReadFencingNumber) {
                    read(id);
                } else if (effect instanceof OrderEffect.RunOrder run) {
                    run(run.order(), id);
                }
            }
        }

        private void read(int id) {
            int starts = agentStarts;
            reached(OrderStep.FENCE_READ, id);
            scheduler.after(storeDelayMillis, () -> {
                boolean answers = scheduler.now() >= storeDownUntilMillis && !nextReplyLost;
                nextReplyLost = false;
                long number = scheduler.now() < leaseEndMillis ? leaseNumber : 0;
                scheduler.after(answers ? storeDelayMillis : 1_000, () -> {
                    reached(OrderStep.FENCE_ANSWERED, id);
                    if (starts == agentStarts) {
                        handle(
                                answers ? new OrderEvent.FencingNumberRead(number) : new OrderEvent.StoreUnavailable(),
                                id);
                    }
                });
            });
        }

        private void run(Order order, int id) {
            int starts = agentStarts;
            reached(OrderStep.ORDER_RUN, id);
            executed.add(order);
            scheduler.after(engineMillis, () -> {
                reached(OrderStep.ORDER_FINISHED, id);
                if (starts == agentStarts) {
                    handle(new OrderEvent.EngineFinished(order.orderId(), ""), id);
                }
            });
        }
    }
}
