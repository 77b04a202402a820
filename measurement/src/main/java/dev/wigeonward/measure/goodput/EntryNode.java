package dev.wigeonward.measure.goodput;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.Placement;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.UpstreamPool;
import dev.wigeonward.core.placement.UpstreamState;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.retry.RetryBudget;

/** An entry: the real admission queue and placement policy, joined to the agents by links with a latency. */
final class EntryNode {
    private static final long LATENCY_MILLIS = 1;

    private final Scheme scheme;
    private final AdmissionQueue admission;
    private final PlacementPolicy placement;
    private final RetryBudget retries = RetryBudget.startingAt(0);
    private final EventLoop loop;
    private final Tally tally;
    private final Map<RequestId, Job> jobs = new HashMap<>();
    private final Map<RequestId, Sent> sent = new HashMap<>();
    private final Map<String, Upstream> upstreams = new HashMap<>();
    /** Upstreams with room for a tier: own outstanding requests of this tier and above leave some slots free. */
    private final Map<Tier, UpstreamPool> pools = new EnumMap<>(Tier.class);

    EntryNode(Scheme scheme, List<AgentNode> agents, RandomGenerator random, EventLoop loop, Tally tally) {
        this.scheme = scheme;
        this.admission = scheme.admission();
        this.placement = scheme.placement(random);
        this.loop = loop;
        this.tally = tally;
        for (Tier tier : Tier.values()) {
            pools.put(tier, UpstreamPool.create());
        }
        for (AgentNode agent : agents) {
            Upstream upstream = new Upstream(agent, UpstreamState.of(agent.description()), new int[pools.size()]);
            upstreams.put(agent.description().upstreamId(), upstream);
            pools.values().forEach(pool -> pool.put(upstream.state()));
        }
    }

    void arrive(Job job) {
        RequestSpec request = job.request();
        tally.offered(job);
        retries.onRequest(loop.nowMillis());
        long serviceMillis = request.work().serviceMillis(Workload.REFERENCE_SPEED);
        AdmissionResult result = admission.offer(request, serviceMillis, loop.nowMillis());
        if (result instanceof AdmissionResult.Refused refused) {
            tally.refused(job, refused.failure().kind());
            return;
        }
        jobs.put(request.id(), job);
        ((AdmissionResult.Queued) result).displaced().forEach(displaced -> fail(displaced, ErrorKind.DISPLACED));
        loop.at(request.deadlineMillis() + 1, () -> expire(job));
        pump();
    }

    /** Callers close their connections at the deadline, whatever the policy. */
    private void expire(Job job) {
        RequestId id = job.request().id();
        if (!tally.isOpen(job)) {
            return;
        }
        Sent dispatched = sent.get(id);
        boolean running = dispatched != null && dispatched.upstream().agent().cancel(id);
        admission.remove(id);
        fail(job.request(), running ? ErrorKind.DEADLINE_EXCEEDED_RUNNING : ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE);
        if (dispatched != null) {
            release(id);
        }
        pump();
    }

    void pump() {
        admission
                .removeExpired(loop.nowMillis())
                .forEach(request -> fail(request, ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE));
        for (Optional<RequestSpec> next = admission.poll(loop.nowMillis());
                next.isPresent();
                next = admission.poll(loop.nowMillis())) {
            RequestSpec request = next.get();
            Optional<Placement> choice = placement.choose(request, pools.get(request.tier()), loop.nowMillis());
            if (choice.isEmpty()) {
                admission.putBack(request, request.work().serviceMillis(Workload.REFERENCE_SPEED));
                return;
            }
            send(jobs.get(request.id()), choice.get());
        }
    }

    private void send(Job job, Placement choice) {
        Upstream upstream = upstreams.get(choice.upstreamId());
        sent.put(job.request().id(), new Sent(upstream, choice.serviceMillis()));
        upstream.state().onDispatched(choice.serviceMillis());
        upstream.count(job.request().tier(), 1);
        updatePools(upstream);
        loop.after(LATENCY_MILLIS, () -> {
            if (tally.isOpen(job)) {
                upstream.agent().dispatch(job, this::reply);
            }
        });
    }

    private void reply(Job job, Optional<ErrorKind> refusal) {
        long repliedMillis = loop.nowMillis();
        loop.after(LATENCY_MILLIS, () -> {
            if (!tally.isOpen(job)) {
                return;
            }
            release(job.request().id());
            if (refusal.isEmpty()) {
                tally.answered(job, repliedMillis);
                jobs.remove(job.request().id());
            } else if (scheme.holdsBack() && retries.tryRetry(loop.nowMillis())) {
                admission.putBack(job.request(), job.request().work().serviceMillis(Workload.REFERENCE_SPEED));
            } else {
                fail(job.request(), refusal.get());
            }
            pump();
        });
    }

    void onReport(String upstreamId, LoadReport report) {
        loop.after(LATENCY_MILLIS, () -> upstreams.get(upstreamId).state().onReport(report, loop.nowMillis()));
    }

    private void release(RequestId id) {
        Sent ended = sent.remove(id);
        ended.upstream().state().onEnded(ended.serviceMillis());
        ended.upstream().count(jobs.get(id).request().tier(), -1);
        updatePools(ended.upstream());
    }

    private void updatePools(Upstream upstream) {
        if (!scheme.holdsBack()) {
            return;
        }
        int outstanding = 0;
        for (Tier tier : Tier.values()) {
            outstanding += upstream.outstandingByTier()[tier.ordinal()];
            if (outstanding < upstream.agent().description().slots()) {
                pools.get(tier).put(upstream.state());
            } else {
                pools.get(tier).remove(upstream.agent().description().upstreamId());
            }
        }
    }

    private void fail(RequestSpec request, ErrorKind kind) {
        tally.refused(jobs.get(request.id()), kind);
    }

    private record Sent(Upstream upstream, long serviceMillis) {}

    private record Upstream(AgentNode agent, UpstreamState state, int[] outstandingByTier) {
        void count(Tier tier, int change) {
            outstandingByTier[tier.ordinal()] += change;
        }
    }
}
