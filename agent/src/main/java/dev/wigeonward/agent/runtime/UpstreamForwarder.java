package dev.wigeonward.agent.runtime;

import java.util.List;
import java.util.Map;

import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.common.ring.QueueWorker;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;

/** An answer listener that forwards the upstream's answer to the decision thread. */
final class UpstreamForwarder implements UpstreamClient.AnswerListener {
    private final RequestId run;
    private final QueueWorker<AgentInput> thread;

    UpstreamForwarder(RequestId run, QueueWorker<AgentInput> thread) {
        this.run = run;
        this.thread = thread;
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        thread.put(new AgentInput.Head(run, status, headers));
    }

    @Override
    public void onOutput(byte[] part) {
        thread.put(new AgentInput.Part(run, part));
    }

    @Override
    public void onFinished() {
        thread.put(new AgentInput.End(run));
    }

    @Override
    public void onFailed(Failure failure) {
        thread.put(new AgentInput.Broken(run, failure, false));
    }

    @Override
    public void onNotSent(Failure failure) {
        thread.put(new AgentInput.Broken(run, failure, true));
    }
}
