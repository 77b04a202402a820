package dev.wigeonward.gateway.coordination;

import java.util.List;
import java.util.function.Function;

import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;

/**
 * Coordination that is off: each request waits at the own scheduler.
 *
 * @param schedulers returns the scheduler of a service
 * @param requestRound requests a scheduling round
 */
public record LocalQueues(Function<String, ServiceScheduler> schedulers, Runnable requestRound)
        implements QueueCoordination {
    @Override
    public void offer(String service, ScheduledRequest request) {
        schedulers.apply(service).offer(request);
        requestRound.run();
    }

    @Override
    public void withdraw(String service, ScheduledRequest request) {
        schedulers.apply(service).remove(request);
    }

    @Override
    public boolean onDecision(String service, Decision decision) {
        return false;
    }

    @Override
    public void afterRound(String service) {}

    @Override
    public void onFirstEvent(ScheduledRequest request) {}

    @Override
    public void onEnded(ScheduledRequest request, Outcome outcome) {}

    @Override
    public boolean takesAnySlot(String service) {
        return false;
    }

    @Override
    public List<String> dumpLines() {
        return List.of();
    }
}
