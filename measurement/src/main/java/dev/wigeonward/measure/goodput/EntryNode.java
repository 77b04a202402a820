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
import dev.wigeonward.core.dispatch.SuspectGate;
import dev.wigeonward.core.dispatch.VersionRouter;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.retry.RetryBudget;

/** The entry's dispatcher and policies, joined to the agents by links with a latency. */
final class EntryNode {
    static final long LATENCY_MILLIS = 1;

    private final int index;
    private final EntryDispatcher dispatcher;
    private final EventLoop loop;
    private final Tally tally;
    private final Map<RequestId, Job> jobs = new HashMap<>();
    private final Map<String, AgentNode> agents;

    EntryNode(int index, Scheme scheme, List<AgentNode> agents, RandomGenerator random, EventLoop loop, Tally tally) {
        this.index = index;
        this.loop = loop;
        this.tally = tally;
        this.agents = agents.stream()
                .collect(Collectors.toMap(agent -> agent.description().upstreamId(), agent -> agent));
        PlacementPolicy placement = scheme.placement(random);
        DispatchPolicies policies = new DispatchPolicies(
                scheme::admission,
                placement,
                placement,
                VersionRouter.first(),
                RetryBudget.startingAt(0),
                SuspectGate.open());
        this.dispatcher = EntryDispatcher.create(policies, DispatchLimits.defaults());
        agents.forEach(agent -> handle(new EntryEvent.LinkUp(agent.description())));
    }

    void arrive(Job job) {
        tally.offered(job);
        jobs.put(job.request().id(), job);
        handle(new EntryEvent.RequestArrived(job.request()));
    }

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
            loop.after(LATENCY_MILLIS, () -> agent.dispatch(job, event));
        } else if (effect instanceof EntryEffect.SendCancel cancel) {
            send(cancel.upstreamId(), new AgentEvent.CancelArrived(cancel.request()));
        } else if (effect instanceof EntryEffect.SendAcknowledge acknowledge) {
            send(
                    acknowledge.upstreamId(),
                    new AgentEvent.AcknowledgeArrived(acknowledge.request(), acknowledge.offsetBytes()));
        } else if (effect instanceof EntryEffect.DeliverEnd end) {
            tally.answered(jobs.remove(end.request()), loop.nowMillis());
        } else if (effect instanceof EntryEffect.DeliverFailure failure) {
            tally.refused(jobs.remove(failure.request()), failure.failure().kind());
        } else if (!(effect instanceof EntryEffect.DeliverOutput || effect instanceof EntryEffect.Forget)) {
            throw new IllegalStateException("unexpected effect " + effect);
        }
    }

    private void send(String upstreamId, AgentEvent event) {
        AgentNode agent = agents.get(upstreamId);
        loop.after(LATENCY_MILLIS, () -> agent.handle(event));
    }
}
