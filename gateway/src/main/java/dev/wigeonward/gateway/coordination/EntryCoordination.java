package dev.wigeonward.gateway.coordination;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

import dev.wigeonward.core.coordination.CoordinationEffect;
import dev.wigeonward.core.coordination.CoordinatorChoice;
import dev.wigeonward.core.coordination.CoordinatorMessage;
import dev.wigeonward.core.coordination.CoordinatorSide;
import dev.wigeonward.core.coordination.MemberMessage;
import dev.wigeonward.core.coordination.MemberSide;
import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.wire.generated.PlacementBatch;
import io.netty.channel.EventLoop;

/** Coordination with the other entries. Both sides of this entry run on the event loop. */
public final class EntryCoordination implements QueueCoordination {
    private static final long TICK_MILLIS = 20;

    private final MemberSide memberSide;
    private final CoordinatorSide coordinatorSide;
    private final PlacementOutbox outbox;
    private final Placements placements;
    private final Telemetry telemetry;
    private final LongSupplier nowMillis;

    private EntryCoordination(
            LocalEntry self,
            Function<String, ServiceScheduler> schedulers,
            Placements placements,
            PlacementOutbox outbox,
            Telemetry telemetry,
            LongSupplier nowMillis) {
        this.placements = placements;
        this.outbox = outbox;
        this.telemetry = telemetry;
        this.nowMillis = nowMillis;
        CoordinatorChoice choice = CoordinatorChoice.create(self.address(), self.cpuCores());
        memberSide = MemberSide.create(self.address(), self.zone(), choice, schedulers, this::perform);
        coordinatorSide = CoordinatorSide.create(schedulers, this::perform);
    }

    /**
     * Starts the coordination of an entry.
     *
     * @param schedulers returns the scheduler of a service
     * @param placements receives the decisions of coordinators
     */
    public static EntryCoordination start(
            LocalEntry self,
            Function<String, ServiceScheduler> schedulers,
            Placements placements,
            PlacementTransport transport,
            EventLoop loop,
            Telemetry telemetry,
            LongSupplier nowMillis) {
        EntryCoordination coordination = new EntryCoordination(
                self, schedulers, placements, new PlacementOutbox(loop, telemetry, transport), telemetry, nowMillis);
        loop.scheduleAtFixedRate(
                telemetry.guard("coordination", coordination::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return coordination;
    }

    private void tick() {
        long now = nowMillis.getAsLong();
        coordinatorSide.tick(now);
        memberSide.tick(now);
    }

    @Override
    public void offer(String service, ScheduledRequest request) {
        memberSide.offer(service, request, nowMillis.getAsLong());
    }

    @Override
    public void withdraw(String service, ScheduledRequest request) {
        memberSide.withdraw(service, request);
    }

    @Override
    public boolean onDecision(String service, Decision decision) {
        if (coordinatorSide.onDecision(decision, nowMillis.getAsLong())) {
            return true;
        }
        memberSide.onDecision(service, decision);
        return false;
    }

    @Override
    public void afterRound(String service) {
        memberSide.afterRound(service, nowMillis.getAsLong());
    }

    @Override
    public void onFirstEvent(ScheduledRequest request) {
        memberSide.onFirstEvent(request);
    }

    @Override
    public void onEnded(ScheduledRequest request, Outcome outcome) {
        memberSide.onEnded(request, outcome);
    }

    @Override
    public boolean takesAnySlot(String service) {
        return memberSide.coordinates(service) || coordinatorSide.hasOpenAsks(service);
    }

    /** Handles a batch of another entry. */
    public void onBatch(String entry, PlacementBatch batch) {
        long now = nowMillis.getAsLong();
        PlacementCodec.memberMessages(batch, (number, reason) -> onInvalidAsk(entry, number, reason))
                .forEach(message -> coordinatorSide.onMessage(entry, message, now));
        PlacementCodec.coordinatorMessages(batch).forEach(message -> memberSide.onMessage(entry, message, now));
    }

    /** Lets the member decide alone on a request that this entry cannot read. */
    private void onInvalidAsk(String entry, long number, String reason) {
        telemetry.log().warning("placement_ask_invalid", "entry=" + entry + " number=" + number + " reason=" + reason);
        outbox.add(entry, new CoordinatorMessage.Refusal(number, RefusalReason.NO_UPSTREAM, 0));
    }

    /** Records that the state of an entry was heard; an entry of weight 0 does not coordinate. */
    public void onHeard(String entry, double weight) {
        memberSide.onHeard(entry, weight, nowMillis.getAsLong());
    }

    /** Records that an entry was heard which has not stated its weight now. */
    public void onHeard(String entry) {
        memberSide.onHeard(entry, nowMillis.getAsLong());
    }

    /** Handles the loss of a link to an entry: neither side counts the grants between the two any more. */
    public void onEntryDown(String entry) {
        long now = nowMillis.getAsLong();
        coordinatorSide.onMemberDown(entry, now);
        memberSide.onEntryDown(entry, now);
    }

    /** Returns the requests of this entry that were granted and have not ended, by coordinator and upstream. */
    public Map<String, Map<String, EntryLoad>> grantedLoads() {
        return memberSide.grantedLoads();
    }

    private void perform(CoordinationEffect effect) {
        if (effect instanceof CoordinationEffect.ToCoordinator message) {
            outbox.add(message.entry(), message.message());
        } else if (effect instanceof CoordinationEffect.ToMember message) {
            outbox.add(message.entry(), message.message());
        } else if (effect instanceof CoordinationEffect.Place place) {
            placements.onPlaced(place.request(), place.upstream());
        } else if (effect instanceof CoordinationEffect.Refuse refuse) {
            placements.onRefused(refuse.request(), refuse.reason(), refuse.returnAfterMillis());
        } else if (effect instanceof CoordinationEffect.RunRound) {
            placements.requestRound();
        } else if (effect instanceof CoordinationEffect.Chosen chosen) {
            telemetry.log().info("coordinator_chosen", "service=" + chosen.service() + " entry=" + chosen.entry());
        } else if (effect instanceof CoordinationEffect.Lost lost) {
            telemetry.metrics().counter("coordination.fallbacks").inc(lost.takenBack());
            telemetry
                    .log()
                    .warning(
                            "coordinator_lost",
                            "service=" + lost.service() + " entry=" + lost.entry() + " taken_back=" + lost.takenBack());
        } else if (effect instanceof CoordinationEffect.LateGrant) {
            telemetry.count("coordination.late_grants");
        }
        count(effect);
    }

    private void count(CoordinationEffect effect) {
        if (effect instanceof CoordinationEffect.ToCoordinator sent && sent.message() instanceof MemberMessage.Ask) {
            telemetry.count("coordination.asks");
        } else if (effect instanceof CoordinationEffect.ToMember sent
                && sent.message() instanceof CoordinatorMessage.Grant) {
            telemetry.count("coordination.grants");
        } else if (effect instanceof CoordinationEffect.ToMember sent
                && sent.message() instanceof CoordinatorMessage.Refusal) {
            telemetry.count("coordination.refusals");
        }
    }

    @Override
    public List<String> dumpLines() {
        return List.of("coordination open_asks=" + memberSide.openAskCount() + " granted_by_peers="
                + memberSide.grantedCount() + " granted_to_peers=" + coordinatorSide.grantedCount());
    }

    /**
     * This entry as its peers know it.
     *
     * @param address its link address
     * @param zone its failure domain
     * @param cpuCores its weight in the choice of coordinators
     */
    public record LocalEntry(String address, String zone, double cpuCores) {}
}
