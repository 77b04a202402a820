package dev.wigeonward.gateway.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.gateway.coordination.EntryCoordination;
import dev.wigeonward.gateway.coordination.LocalQueues;
import dev.wigeonward.gateway.coordination.PlacementTransport;
import dev.wigeonward.gateway.coordination.Placements;
import dev.wigeonward.gateway.coordination.QueueCoordination;
import dev.wigeonward.gateway.event.Telemetry;
import io.netty.channel.EventLoop;

/**
 * Requests of this entry that wait for a decision, wherever it is made. A request leaves the waiting ones with its
 * first decision, so it is dispatched at most once for each time that it was offered. Runs on the event loop.
 */
final class RequestQueues implements Placements {
    private final ServiceSchedulers schedulers;
    private final EventLoop loop;
    private final Telemetry telemetry;
    private final LongSupplier nowMillis;
    private final SchedulingTrigger trigger;
    private final Map<ScheduledRequest, Exchange> waiting = new HashMap<>();
    private QueueCoordination coordination;

    RequestQueues(ServiceSchedulers schedulers, EventLoop loop, Telemetry telemetry, LongSupplier nowMillis) {
        this.schedulers = schedulers;
        this.loop = loop;
        this.telemetry = telemetry;
        this.nowMillis = nowMillis;
        this.trigger = new SchedulingTrigger(loop, telemetry, this::runRound);
        this.coordination = new LocalQueues(schedulers::of, this::requestRound);
    }

    /** Starts coordination with the peers; called before the first request is offered. */
    EntryCoordination startCoordination(EntryCoordination.LocalEntry self, PlacementTransport transport) {
        EntryCoordination started =
                EntryCoordination.start(self, schedulers::of, this, transport, loop, telemetry, nowMillis);
        coordination = started;
        return started;
    }

    boolean anyWaiting() {
        return !waiting.isEmpty() || schedulers.anyWaiting();
    }

    boolean takesAnySlot(String service) {
        return coordination.takesAnySlot(service);
    }

    /** Queues a request; the exchange receives the decision on it. */
    void offer(String service, ScheduledRequest request, Exchange exchange) {
        waiting.put(request, exchange);
        coordination.offer(service, request);
    }

    /** Removes a request from the queue if no decision was made on it. */
    void withdraw(String service, ScheduledRequest request) {
        if (waiting.remove(request) != null) {
            coordination.withdraw(service, request);
        }
    }

    @Override
    public void requestRound() {
        trigger.request();
    }

    private boolean runRound() {
        for (String service : schedulers.services()) {
            List<Decision> decisions = schedulers.of(service).decide(nowMillis.getAsLong());
            for (Decision decision : decisions) {
                if (!coordination.onDecision(service, decision)) {
                    apply(decision);
                }
            }
            if (!decisions.isEmpty() || schedulers.of(service).waitingCount() > 0) {
                coordination.afterRound(service);
            }
        }
        return schedulers.anyWaiting();
    }

    private void apply(Decision decision) {
        if (decision instanceof Decision.Placed placed) {
            onPlaced(placed.request(), placed.upstream());
        } else if (decision instanceof Decision.Refused refused) {
            onRefused(refused.request(), refused.reason(), refused.returnAfterMillis());
        }
    }

    @Override
    public void onPlaced(ScheduledRequest request, Upstream upstream) {
        waiting.remove(request).onPlaced(upstream);
    }

    @Override
    public void onRefused(ScheduledRequest request, RefusalReason reason, long returnAfterMillis) {
        waiting.remove(request).onRefused(reason, returnAfterMillis);
    }

    /** Records the first event of the answer to a placed request. */
    void onFirstEvent(ScheduledRequest request, String service) {
        schedulers.of(service).onFirstEvent(request, nowMillis.getAsLong());
        coordination.onFirstEvent(request);
    }

    /** Records the end of a placed request and frees its slot. */
    void onEnded(ScheduledRequest request, String service, Outcome outcome) {
        schedulers.of(service).onEnded(request, outcome, nowMillis.getAsLong());
        coordination.onEnded(request, outcome);
    }

    List<String> dumpLines() {
        return coordination.dumpLines();
    }
}
