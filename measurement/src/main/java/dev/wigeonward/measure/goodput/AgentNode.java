package dev.wigeonward.measure.goodput;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.wigeonward.core.dispatch.AgentDispatcher;
import dev.wigeonward.core.dispatch.AgentEffect;
import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.dispatch.AgentLimits;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.engine.EngineQueue;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.RequestId;

/** An agent's dispatcher and queue in front of a simulated engine. The id of a link is the index of its entry. */
final class AgentNode {
    private static final int OUTPUT_BYTES_PER_TOKEN = 4;

    private final SimulatedEngine engine;
    private final AgentDispatcher dispatcher;
    private final EventLoop loop;
    private final OutcomeCounts counts;
    private final Map<RequestId, Job> jobs = new HashMap<>();
    private List<EntryNode> entries = List.of();

    AgentNode(SimulatedEngine engine, EngineQueue queue, EventLoop loop, OutcomeCounts counts) {
        this.engine = engine;
        this.dispatcher = AgentDispatcher.create(engine.description().incarnation(), queue, AgentLimits.defaults());
        this.loop = loop;
        this.counts = counts;
    }

    /** Sets the entries to which this agent sends its messages and load reports. */
    void connect(List<EntryNode> linkedEntries) {
        entries = linkedEntries;
    }

    UpstreamDescription description() {
        return engine.description();
    }

    /** Remembers the job and passes its dispatch to the dispatcher. */
    void dispatch(Job job, AgentEvent.DispatchArrived event) {
        jobs.put(job.request().id(), job);
        handle(event);
    }

    /** Passes an event to the dispatcher and performs the effects that it returns. */
    void handle(AgentEvent event) {
        for (AgentEffect effect : dispatcher.handle(event, loop.nowMillis())) {
            apply(effect);
        }
    }

    private void apply(AgentEffect effect) {
        if (effect instanceof AgentEffect.SubmitToUpstream submit) {
            Job job = jobs.get(submit.run());
            engine.start(job, () -> onEngineFinished(job));
        } else if (effect instanceof AgentEffect.CancelInUpstream cancel) {
            counts.recordPrefill(engine.end(cancel.run()), true);
        } else if (effect instanceof AgentEffect.ReleaseRun release) {
            jobs.remove(release.run());
        } else if (effect instanceof AgentEffect.SendAccepted accepted) {
            send(accepted.link(), new EntryEvent.Accepted(accepted.request(), accepted.dispatch()));
        } else if (effect instanceof AgentEffect.SendNotRun notRun) {
            send(notRun.link(), new EntryEvent.NotRun(notRun.request(), notRun.dispatch(), notRun.failure()));
        } else if (effect instanceof AgentEffect.SendOutput output) {
            int lengthBytes = (int) (output.toBytes() - output.fromBytes());
            send(
                    output.link(),
                    new EntryEvent.OutputArrived(output.request(), output.dispatch(), output.fromBytes(), lengthBytes));
        } else if (effect instanceof AgentEffect.SendFinished end) {
            send(end.link(), new EntryEvent.Finished(end.request(), end.dispatch(), end.totalBytes()));
        } else if (!(effect instanceof AgentEffect.TrimOutput)) {
            throw new IllegalStateException("agent effect is not simulated: " + effect);
        }
    }

    private void onEngineFinished(Job job) {
        RequestId id = job.request().id();
        counts.recordPrefill(engine.end(id), loop.nowMillis() > job.request().deadlineMillis());
        handle(new AgentEvent.UpstreamOutput(id, job.outputTokens() * OUTPUT_BYTES_PER_TOKEN));
        handle(new AgentEvent.UpstreamFinished(id));
    }

    /** Sends the state of the queue to all entries. */
    void sendLoadReports() {
        EngineQueue queue = dispatcher.queue();
        LoadReport report = new LoadReport(
                queue.backlogMillis(loop.nowMillis()), queue.running(), queue.queued(), List.of(), List.of());
        for (int link = 0; link < entries.size(); link++) {
            send(link, new EntryEvent.LoadReported(description().upstreamId(), report, true, Set.of()));
        }
    }

    private void send(long link, EntryEvent event) {
        EntryNode entry = entries.get((int) link);
        loop.after(EntryNode.LINK_LATENCY_MILLIS, () -> entry.handle(event));
    }
}
