package dev.wigeonward.agent.runtime;

import dev.wigeonward.agent.upstream.UpstreamRequest;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.wire.generated.ResponseHead;

/** The data of a run that the dispatcher does not hold: the request to the upstream, the output and the observation. */
final class RunRecord {
    final UpstreamRequest request;
    final RequestSpec spec;
    final String version;
    final OutputBuffer output = new OutputBuffer();
    ResponseHead head = ResponseHead.getDefaultInstance();
    /** Null until the run is submitted to the upstream. */
    EvidenceRecorder.Observation observation;

    RunRecord(UpstreamRequest request, RequestSpec spec, String version) {
        this.request = request;
        this.spec = spec;
        this.version = version;
    }
}
