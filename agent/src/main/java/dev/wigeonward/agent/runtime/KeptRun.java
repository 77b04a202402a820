package dev.wigeonward.agent.runtime;

import dev.wigeonward.agent.upstream.UpstreamRequest;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.wire.generated.ResponseHead;

/** What is kept of a run besides the dispatcher's state: the request for the upstream and the output. */
final class KeptRun {
    final UpstreamRequest request;
    final OutputBuffer output = new OutputBuffer();
    final RequestSpec spec;
    final String version;
    ResponseHead head = ResponseHead.getDefaultInstance();
    /** Null until the run is handed to the upstream. */
    EvidenceRecorder.Observation observation;

    KeptRun(UpstreamRequest request, RequestSpec spec, String version) {
        this.request = request;
        this.spec = spec;
        this.version = version;
    }
}
