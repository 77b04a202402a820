package dev.wigeonward.core.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import dev.wigeonward.core.coordination.CoordinatorLink.OpenAsk;
import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.GrantResult;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;

/**
 * Member side of one entry: decides for each waiting request whether the entry's own scheduler or the coordinator of
 * the service places it. Without contention, without another entry, and while the coordinator does not answer, the own
 * scheduler does. Not thread-safe.
 */
public final class MemberSide {
    /** Fraction of free slots below which a service counts as contended. */
    private static final double CONTENDED_FRACTION = 0.25;
    /** Fraction of free slots above which a service no longer counts as contended. */
    private static final double UNCONTENDED_FRACTION = 0.5;
    /** Time after which an ask without an answer is repeated, in case it or its answer was lost. */
    private static final long REPEAT_MILLIS = 250;
    /** Interval between ticks above which this entry itself was paused, which says nothing about a coordinator. */
    private static final long OWN_PAUSE_MILLIS = 100;

    private final String self;
    private final String zone;
    private final CoordinatorChoice choice;
    private final Function<String, ServiceScheduler> schedulers;
    private final Consumer<CoordinationEffect> effects;
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, CoordinatorLink> links = new HashMap<>();
    private final Map<ScheduledRequest, Numbered> asked = new HashMap<>();
    private final Map<ScheduledRequest, Numbered> granted = new LinkedHashMap<>();
    private long lastNumber;
    private long checkableSinceMillis;
    private long tickedAtMillis;

    private MemberSide(
            String self,
            String zone,
            CoordinatorChoice choice,
            Function<String, ServiceScheduler> schedulers,
            Consumer<CoordinationEffect> effects) {
        this.self = self;
        this.zone = zone;
        this.choice = choice;
        this.schedulers = schedulers;
        this.effects = effects;
    }

    /**
     * Returns a member side without requests.
     *
     * @param self name of this entry
     * @param zone failure domain of this entry
     * @param schedulers returns the scheduler of a service
     * @param effects receives what this entry is to do
     */
    public static MemberSide create(
            String self,
            String zone,
            CoordinatorChoice choice,
            Function<String, ServiceScheduler> schedulers,
            Consumer<CoordinationEffect> effects) {
        return new MemberSide(self, zone, choice, schedulers, effects);
    }

    /** Queues a request at the coordinator while the service is contended, else at the own scheduler. */
    public void offer(String serviceName, ScheduledRequest request, long nowMillis) {
        Service service = service(serviceName);
        if (service.contended && mayAsk(service)) {
            ask(service, request, nowMillis);
            return;
        }
        offerLocally(service, request, true);
    }

    private void offerLocally(Service service, ScheduledRequest request, boolean mayBeAsked) {
        service.local.put(request, mayBeAsked);
        schedulers.apply(service.name).offer(request);
        effects.accept(new CoordinationEffect.RunRound());
    }

    private boolean mayAsk(Service service) {
        String coordinator = choice.coordinator(service.name);
        if (!coordinator.equals(service.coordinator)) {
            service.coordinator = coordinator;
            effects.accept(new CoordinationEffect.Chosen(service.name, coordinator));
        }
        return !coordinator.equals(self) && !link(coordinator).lost();
    }

    private void ask(Service service, ScheduledRequest request, long nowMillis) {
        lastNumber++;
        asked.put(request, new Numbered(service.coordinator, lastNumber));
        service.openAsks++;
        sendAsk(service.coordinator, lastNumber, service.name, request, nowMillis);
    }

    private void sendAsk(String coordinator, long number, String service, ScheduledRequest request, long nowMillis) {
        link(coordinator).open().put(number, new OpenAsk(number, service, request, nowMillis));
        send(coordinator, new MemberMessage.Ask(number, service, request.describe(zone, nowMillis)));
    }

    private void send(String coordinator, MemberMessage message) {
        effects.accept(new CoordinationEffect.ToCoordinator(coordinator, message));
    }

    /** Records the own scheduler's decision on a request of this entry. */
    public void onDecision(String serviceName, Decision decision) {
        ScheduledRequest request =
                decision instanceof Decision.Placed placed ? placed.request() : ((Decision.Refused) decision).request();
        service(serviceName).local.remove(request);
    }

    /** Moves the requests that a round of the own scheduler could not place at once to the coordinator. */
    public void afterRound(String serviceName, long nowMillis) {
        Service service = service(serviceName);
        if (!service.contended) {
            service.contended = !service.local.isEmpty()
                    || schedulers.apply(serviceName).freeSlotFraction(nowMillis) < CONTENDED_FRACTION;
        }
        if (service.local.isEmpty() || !mayAsk(service)) {
            return;
        }
        List<ScheduledRequest> moved = new ArrayList<>();
        service.local.forEach((request, mayBeAsked) -> {
            if (mayBeAsked) {
                moved.add(request);
            }
        });
        for (ScheduledRequest request : moved) {
            service.local.remove(request);
            schedulers.apply(serviceName).remove(request);
            ask(service, request, nowMillis);
        }
    }

    /** Removes a request on which there is no decision, wherever it waits. */
    public void withdraw(String serviceName, ScheduledRequest request) {
        Service service = service(serviceName);
        if (service.local.remove(request) != null) {
            schedulers.apply(serviceName).remove(request);
        }
        Numbered ask = asked.get(request);
        if (ask != null) {
            removeAsk(link(ask.entry).open().get(ask.number), ask.entry);
            send(ask.entry, new MemberMessage.Withdrawal(ask.number));
        }
    }

    private void removeAsk(OpenAsk ask, String coordinator) {
        link(coordinator).open().remove(ask.number());
        asked.remove(ask.request());
        service(ask.service()).openAsks--;
    }

    /** Handles a message of a coordinator. */
    public void onMessage(String coordinator, CoordinatorMessage message, long nowMillis) {
        CoordinatorLink link = link(coordinator);
        link.onHeard(nowMillis);
        link.onAnswer(nowMillis);
        if (message instanceof CoordinatorMessage.Grant grant) {
            onGrant(coordinator, grant, nowMillis);
        } else if (message instanceof CoordinatorMessage.Refusal refusal) {
            onRefusal(coordinator, refusal);
        }
    }

    private void onGrant(String coordinator, CoordinatorMessage.Grant grant, long nowMillis) {
        OpenAsk ask = link(coordinator).open().get(grant.number());
        if (ask == null) {
            // The answer to a repeated ask is the same grant again.
            if (!granted.containsValue(new Numbered(coordinator, grant.number()))) {
                send(coordinator, new MemberMessage.End(grant.number(), Outcome.NOT_SENT));
                effects.accept(new CoordinationEffect.LateGrant(coordinator));
            }
            return;
        }
        removeAsk(ask, coordinator);
        ScheduledRequest request = ask.request();
        GrantResult result =
                schedulers.apply(ask.service()).recordGrant(request, grant.lifetimeId(), grant.keptTokens(), nowMillis);
        if (result == GrantResult.RECORDED) {
            granted.put(request, new Numbered(coordinator, grant.number()));
            effects.accept(
                    new CoordinationEffect.Place(request, request.upstream().orElseThrow()));
            return;
        }
        send(coordinator, new MemberMessage.End(grant.number(), Outcome.NOT_SENT));
        if (result == GrantResult.UPSTREAM_ASKED_FOR_TIME) {
            offerLocally(service(ask.service()), request, false);
            return;
        }
        request.excludeUpstream(upstreamId(grant.lifetimeId()));
        offer(ask.service(), request, nowMillis);
    }

    private static String upstreamId(String lifetimeId) {
        return lifetimeId.substring(0, Math.max(0, lifetimeId.lastIndexOf('/')));
    }

    private void onRefusal(String coordinator, CoordinatorMessage.Refusal refusal) {
        OpenAsk ask = link(coordinator).open().get(refusal.number());
        if (ask == null) {
            return;
        }
        removeAsk(ask, coordinator);
        if (refusal.reason() == RefusalReason.NO_UPSTREAM) {
            // A coordinator that has just started may not know the upstreams yet.
            offerLocally(service(ask.service()), ask.request(), false);
            return;
        }
        effects.accept(new CoordinationEffect.Refuse(ask.request(), refusal.reason(), refusal.returnAfterMillis()));
    }

    /** Reports the first event of a request that a coordinator granted. */
    public void onFirstEvent(ScheduledRequest request) {
        Numbered grant = granted.get(request);
        if (grant != null) {
            send(grant.entry, new MemberMessage.Progress(grant.number));
        }
    }

    /** Reports the end of a request that a coordinator granted. */
    public void onEnded(ScheduledRequest request, Outcome outcome) {
        Numbered grant = granted.remove(request);
        if (grant != null) {
            send(grant.entry, new MemberMessage.End(grant.number, outcome));
        }
    }

    /** Records that the state of an entry was heard; an entry of weight 0 does not coordinate. */
    public void onHeard(String entry, double weight, long nowMillis) {
        choice.onHeard(entry, weight, nowMillis);
        onHeard(entry, nowMillis);
    }

    /** Records that an entry was heard which has not stated its weight now. */
    public void onHeard(String entry, long nowMillis) {
        choice.onHeardAgain(entry, nowMillis);
        CoordinatorLink link = links.get(entry);
        if (link != null) {
            link.onHeard(nowMillis);
        }
    }

    /** Takes back the asks at an entry whose link went down, and counts its grants as own placements from now on. */
    public void onEntryDown(String entry, long nowMillis) {
        choice.forget(entry);
        granted.values().removeIf(grant -> grant.entry.equals(entry));
        if (links.containsKey(entry)) {
            lose(entry, nowMillis);
        }
    }

    private void lose(String entry, long nowMillis) {
        CoordinatorLink link = link(entry);
        link.markLost();
        Map<String, Integer> takenBack = new HashMap<>();
        for (OpenAsk ask : List.copyOf(link.open().values())) {
            removeAsk(ask, entry);
            send(entry, new MemberMessage.Withdrawal(ask.number()));
            takenBack.merge(ask.service(), 1, Integer::sum);
            offer(ask.service(), ask.request(), nowMillis);
        }
        takenBack.forEach((service, count) -> effects.accept(new CoordinationEffect.Lost(service, entry, count)));
    }

    /** Checks coordinators for silence, repeats asks, and ends contention; called every 20 ms. */
    public void tick(long nowMillis) {
        if (nowMillis - tickedAtMillis >= OWN_PAUSE_MILLIS) {
            checkableSinceMillis = nowMillis;
        }
        tickedAtMillis = nowMillis;
        choice.removeSilent(nowMillis);
        for (String entry : List.copyOf(links.keySet())) {
            if (link(entry).silent(checkableSinceMillis, nowMillis)) {
                lose(entry, nowMillis);
            }
            repeatAsks(entry, nowMillis);
        }
        services.values().forEach(service -> check(service, nowMillis));
    }

    private void repeatAsks(String entry, long nowMillis) {
        for (OpenAsk ask : List.copyOf(link(entry).open().values())) {
            if (nowMillis - ask.sentAtMillis() < REPEAT_MILLIS) {
                return;
            }
            // Inserted anew, so that the ask that was sent first stays at the head.
            link(entry).open().remove(ask.number());
            sendAsk(entry, ask.number(), ask.service(), ask.request(), nowMillis);
        }
    }

    private void check(Service service, long nowMillis) {
        if (!service.contended) {
            return;
        }
        String previous = service.coordinator;
        if (service.openAsks > 0 && !choice.coordinator(service.name).equals(previous)) {
            moveAsks(service, previous, nowMillis);
        }
        boolean waiting = service.openAsks > 0 || !service.local.isEmpty();
        service.contended =
                waiting || schedulers.apply(service.name).freeSlotFraction(nowMillis) <= UNCONTENDED_FRACTION;
    }

    private void moveAsks(Service service, String previous, long nowMillis) {
        for (OpenAsk ask : List.copyOf(link(previous).open().values())) {
            if (ask.service().equals(service.name)) {
                removeAsk(ask, previous);
                send(previous, new MemberMessage.Withdrawal(ask.number()));
                offer(service.name, ask.request(), nowMillis);
            }
        }
    }

    /** Returns whether this entry is the coordinator of the service and the service is contended. */
    public boolean coordinates(String serviceName) {
        Service service = services.get(serviceName);
        return service != null
                && service.contended
                && choice.coordinator(serviceName).equals(self);
    }

    /** Returns the requests of this entry that were granted and have not ended, by coordinator and upstream. */
    public Map<String, Map<String, EntryLoad>> grantedLoads() {
        Map<String, Map<String, EntryLoad>> loads = new HashMap<>();
        granted.forEach((request, grant) -> {
            String upstreamId = request.upstream().orElseThrow().id();
            EntryLoad load = new EntryLoad(upstreamId, 1, request.pendingPromptTokens());
            loads.computeIfAbsent(grant.entry, entry -> new HashMap<>()).merge(upstreamId, load, EntryLoad::plus);
        });
        return loads;
    }

    /** Returns the number of requests of this entry that coordinators granted and that have not ended. */
    public int grantedCount() {
        return granted.size();
    }

    /** Returns the coordinator that was last used for a service, for a dump. */
    public Optional<String> coordinatorInUse(String serviceName) {
        return Optional.ofNullable(services.get(serviceName))
                .filter(service -> service.contended)
                .map(service -> service.coordinator);
    }

    /** Returns the number of asks without an answer. */
    public int openAskCount() {
        return asked.size();
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, Service::new);
    }

    private CoordinatorLink link(String entry) {
        return links.computeIfAbsent(entry, name -> new CoordinatorLink());
    }

    /** State of one service. */
    private static final class Service {
        private final String name;
        /** Requests that wait at the own scheduler, with whether the coordinator may be asked about them. */
        private final Map<ScheduledRequest, Boolean> local = new LinkedHashMap<>();

        private String coordinator = "";
        private boolean contended;
        private int openAsks;

        private Service(String name) {
            this.name = name;
        }
    }

    /** Request number of this entry at a coordinator. */
    private record Numbered(String entry, long number) {}
}
