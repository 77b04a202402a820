package dev.wigeonward.agent.runtime;

import dev.wigeonward.agent.upstream.UpstreamRequest;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.wire.generated.ResponseHead;

/** What is kept of a run besides the dispatcher's state: the request for the upstream and the output. */
final class KeptRun {
    final UpstreamRequest request;
    final RequestSpec spec;
    final String version;
    final OutputBuffer output = new OutputBuffer();
    ResponseHead head = ResponseHead.getDefaultInstance();
    /** Set once the run was handed to the upstream. */
    EvidenceRecorder.Observation observation;

    KeptRun(UpstreamRequest request, RequestSpec spec, String version) {
        this.request = request;
        this.spec = spec;
        this.version = version;
    }
}
