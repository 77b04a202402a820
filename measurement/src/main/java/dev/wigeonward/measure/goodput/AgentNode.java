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

/** The agent's dispatcher and queue before a fake engine, linked to the entries by their index. */
final class AgentNode {
    private static final int BYTES_PER_TOKEN = 4;

    private final FakeEngine engine;
    private final AgentDispatcher dispatcher;
    private final EventLoop loop;
    private final Tally tally;
    private final Map<RequestId, Job> jobs = new HashMap<>();
    private List<EntryNode> entries = List.of();

    AgentNode(FakeEngine engine, EngineQueue queue, EventLoop loop, Tally tally) {
        this.engine = engine;
        this.dispatcher = AgentDispatcher.create(engine.description().incarnation(), queue, AgentLimits.defaults());
        this.loop = loop;
        this.tally = tally;
    }

    void link(List<EntryNode> linked) {
        entries = linked;
    }

    UpstreamDescription description() {
        return engine.description();
    }

    void dispatch(Job job, AgentEvent.DispatchArrived event) {
        jobs.put(job.request().id(), job);
        handle(event);
    }

    void handle(AgentEvent event) {
        for (AgentEffect effect : dispatcher.handle(event, loop.nowMillis())) {
            apply(effect);
        }
    }

    private void apply(AgentEffect effect) {
        if (effect instanceof AgentEffect.SubmitToUpstream submit) {
            Job job = jobs.get(submit.run());
            engine.start(job, () -> finished(job));
        } else if (effect instanceof AgentEffect.CancelInUpstream cancel) {
            tally.prefilled(engine.end(cancel.run()), true);
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
            throw new IllegalStateException("unexpected effect " + effect);
        }
    }

    private void finished(Job job) {
        RequestId id = job.request().id();
        tally.prefilled(engine.end(id), loop.nowMillis() > job.request().deadlineMillis());
        handle(new AgentEvent.UpstreamOutput(id, job.outputTokens() * BYTES_PER_TOKEN));
        handle(new AgentEvent.UpstreamFinished(id));
    }

    void report() {
        EngineQueue queue = dispatcher.queue();
        LoadReport report = new LoadReport(
                queue.backlogMillis(loop.nowMillis()), queue.running(), queue.queued(), List.of(), List.of());
        for (int link = 0; link < entries.size(); link++) {
            send(link, new EntryEvent.LoadReported(description().upstreamId(), report, true, Set.of()));
        }
    }

    private void send(long link, EntryEvent event) {
        EntryNode entry = entries.get((int) link);
        loop.after(EntryNode.LATENCY_MILLIS, () -> entry.handle(event));
    }
}
