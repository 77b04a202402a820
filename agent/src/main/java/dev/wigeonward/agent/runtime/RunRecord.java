package dev.wigeonward.agent.runtime;

import dev.wigeonward.agent.upstream.UpstreamRequest;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.wire.generated.ResponseHead;

/** The data of a run that the dispatcher does not hold: the request to the upstream, the output and the observation. */
final class RunRecord {
    /** Number of outputs after which the upstream has got beyond the beginning of its answer. */
    private static final int MIN_OUTPUTS_OF_ANSWER = 4;

    final UpstreamRequest request;
    final RequestSpec spec;
    final String version;
    final OutputBuffer output = new OutputBuffer();
    ResponseHead head = ResponseHead.getDefaultInstance();
    /** Null until the run is submitted to the upstream. */
    EvidenceRecorder.Observation observation;

    private int outputs;
    private long answerBeganAtMillis;
    private boolean answering;

    RunRecord(UpstreamRequest request, RequestSpec spec, String version) {
        this.request = request;
        this.spec = spec;
        this.version = version;
    }

    /** Appends output and returns whether the upstream has now got beyond the beginning of its answer. */
    boolean append(byte[] data, long nowMillis) {
        output.append(data);
        outputs++;
        if (outputs == 1) {
            answerBeganAtMillis = nowMillis;
        }
        return outputs >= MIN_OUTPUTS_OF_ANSWER && markAnswering();
    }

    /** Marks the run as one that the upstream has got beyond the beginning of, and returns whether this is new. */
    boolean markAnswering() {
        boolean changed = !answering;
        answering = true;
        return changed;
    }

    boolean answering() {
        return answering;
    }

    long answerBeganAtMillis() {
        return answerBeganAtMillis;
    }
}
