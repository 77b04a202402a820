package dev.wigeonward.agent.runtime;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.common.ring.QueueWorker;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;

/** An answer listener that forwards the upstream's answer to the decision thread. */
final class UpstreamForwarder implements UpstreamClient.AnswerListener {
    private final RequestId run;
    private final QueueWorker<AgentInput> worker;
    private final BooleanSupplier inTime;

    /**
     * Creates a listener for a run.
     *
     * @param inTime whether the deadline of the run has not passed; called on any thread
     */
    UpstreamForwarder(RequestId run, QueueWorker<AgentInput> worker, BooleanSupplier inTime) {
        this.run = run;
        this.worker = worker;
        this.inTime = inTime;
    }

    @Override
    public boolean maySend() {
        return inTime.getAsBoolean();
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        worker.put(new AgentInput.HeadArrived(run, status, headers));
    }

    @Override
    public void onOutput(byte[] part) {
        worker.put(new AgentInput.OutputArrived(run, part));
    }

    @Override
    public void onFinished() {
        worker.put(new AgentInput.Finished(run));
    }

    @Override
    public void onFailed(Failure failure) {
        worker.put(new AgentInput.Failed(run, failure, false));
    }

    @Override
    public void onNotSent(Failure failure) {
        worker.put(new AgentInput.Failed(run, failure, true));
    }
}
