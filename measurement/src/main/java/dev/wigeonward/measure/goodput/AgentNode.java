package dev.wigeonward.measure.goodput;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.engine.EngineQueue;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** An agent: the real queue before a fake engine. */
final class AgentNode {
    private final FakeEngine engine;
    private final EngineQueue queue;
    private final EventLoop loop;
    private final Tally tally;
    private final Map<RequestId, Pending> pending = new HashMap<>();

    AgentNode(FakeEngine engine, EngineQueue queue, EventLoop loop, Tally tally) {
        this.engine = engine;
        this.queue = queue;
        this.loop = loop;
        this.tally = tally;
    }

    UpstreamDescription description() {
        return engine.description();
    }

    /** Queues a job; the reply gets empty for an answer and the error kind for a job that did not run. */
    void dispatch(Job job, BiConsumer<Job, Optional<ErrorKind>> reply) {
        AdmissionResult result = queue.offer(job.request(), loop.nowMillis());
        if (result instanceof AdmissionResult.Refused refused) {
            reply.accept(job, Optional.of(refused.failure().kind()));
            return;
        }
        pending.put(job.request().id(), new Pending(job, reply));
        refuse(((AdmissionResult.Queued) result).displaced(), ErrorKind.DISPLACED);
        pump();
    }

    /** Stops a job that nobody waits for and returns whether it was running. */
    boolean cancel(RequestId id) {
        if (pending.remove(id) == null) {
            return false;
        }
        if (queue.remove(id)) {
            return false;
        }
        queue.onEnded(id, loop.nowMillis());
        tally.prefilled(engine.end(id), true);
        pump();
        return true;
    }

    /** Reports requests that became late in the queue and starts what has room. */
    void pump() {
        refuse(queue.removeExpired(loop.nowMillis()), ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE);
        for (Optional<RequestSpec> next = queue.next(loop.nowMillis());
                next.isPresent();
                next = queue.next(loop.nowMillis())) {
            Pending started = pending.get(next.get().id());
            engine.start(started.job(), () -> finish(started));
        }
    }

    LoadReport report() {
        return new LoadReport(
                queue.backlogMillis(loop.nowMillis()), queue.running(), queue.queued(), List.of(), List.of());
    }

    private void finish(Pending finished) {
        RequestId id = finished.job().request().id();
        pending.remove(id);
        queue.onEnded(id, loop.nowMillis());
        tally.prefilled(
                engine.end(id), loop.nowMillis() > finished.job().request().deadlineMillis());
        finished.reply().accept(finished.job(), Optional.empty());
        pump();
    }

    private void refuse(List<RequestSpec> requests, ErrorKind kind) {
        for (RequestSpec request : requests) {
            Pending refused = pending.remove(request.id());
            refused.reply().accept(refused.job(), Optional.of(kind));
        }
    }

    private record Pending(Job job, BiConsumer<Job, Optional<ErrorKind>> reply) {}
}
