package dev.wigeonward.measure.goodput;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.dispatch.DispatchLimits;
import dev.wigeonward.core.dispatch.DispatchPolicies;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.dispatch.SuspectPolicy;
import dev.wigeonward.core.dispatch.VersionRouter;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.retry.RetryBudget;

/** An entry's dispatcher and policies, connected to the agents by links with a fixed latency. */
final class EntryNode {
    /** One-way latency of a message between entry and agent. */
    static final long LINK_LATENCY_MILLIS = 1;

    private final int index;
    private final EntryDispatcher dispatcher;
    private final EventLoop loop;
    private final OutcomeCounts counts;
    private final Map<RequestId, Job> jobs = new HashMap<>();
    private final Map<String, AgentNode> agents;

    EntryNode(
            int index,
            PolicySet policySet,
            List<AgentNode> agents,
            RandomGenerator random,
            EventLoop loop,
            OutcomeCounts counts) {
        this.index = index;
        this.loop = loop;
        this.counts = counts;
        this.agents = agents.stream()
                .collect(Collectors.toMap(agent -> agent.description().upstreamId(), agent -> agent));
        PlacementPolicy placement = policySet.placement(random);
        DispatchPolicies policies = new DispatchPolicies(
                policySet::admission,
                placement,
                placement,
                VersionRouter.first(),
                RetryBudget.create(0),
                SuspectPolicy.allowAll());
        this.dispatcher = EntryDispatcher.create(policies, DispatchLimits.defaults());
        agents.forEach(agent -> handle(new EntryEvent.LinkUp(agent.description())));
    }

    /** Counts a request as offered and passes it to the dispatcher. */
    void arrive(Job job) {
        counts.recordOffered(job);
        jobs.put(job.request().id(), job);
        handle(new EntryEvent.RequestArrived(job.request()));
    }

    /** Passes an event to the dispatcher and performs the effects that it returns. */
    void handle(EntryEvent event) {
        for (EntryEffect effect : dispatcher.handle(event, loop.nowMillis())) {
            apply(effect);
        }
    }

    private void apply(EntryEffect effect) {
        if (effect instanceof EntryEffect.SendDispatch send) {
            Job job = jobs.get(send.request());
            AgentNode agent = agents.get(send.upstreamId());
            AgentEvent.DispatchArrived event = new AgentEvent.DispatchArrived(
                    index, job.request(), send.dispatch(), send.upstreamIncarnation(), Optional.empty());
            loop.after(LINK_LATENCY_MILLIS, () -> agent.dispatch(job, event));
        } else if (effect instanceof EntryEffect.SendCancel cancel) {
            send(cancel.upstreamId(), new AgentEvent.CancelArrived(cancel.request()));
        } else if (effect instanceof EntryEffect.SendAcknowledge acknowledge) {
            send(
                    acknowledge.upstreamId(),
                    new AgentEvent.AcknowledgeArrived(acknowledge.request(), acknowledge.offsetBytes()));
        } else if (effect instanceof EntryEffect.DeliverEnd end) {
            counts.recordAnswer(jobs.remove(end.request()), loop.nowMillis());
        } else if (effect instanceof EntryEffect.DeliverFailure failure) {
            counts.recordFailure(
                    jobs.remove(failure.request()), failure.failure().kind());
        } else if (!(effect instanceof EntryEffect.DeliverOutput || effect instanceof EntryEffect.ReleaseRequest)) {
            throw new IllegalStateException("entry effect is not simulated: " + effect);
        }
    }

    private void send(String upstreamId, AgentEvent event) {
        AgentNode agent = agents.get(upstreamId);
        loop.after(LINK_LATENCY_MILLIS, () -> agent.handle(event));
    }
}
