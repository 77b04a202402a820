package dev.wigeonward.exchange;

import java.util.Optional;

import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.EvidenceCounters;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.RouteLoadKey;
import dev.wigeonward.core.rollout.TimeHistogram;
import dev.wigeonward.wire.generated.Evidence;
import dev.wigeonward.wire.generated.Frame;

/** Converts an agent's evidence counters to frames, and evidence messages to controller events. */
public final class EvidenceCodec {
    private EvidenceCodec() {}

    /** Returns the frame that carries the counters of one model version, route and load state. */
    public static Frame toFrame(EvidenceRecorder.Key key, EvidenceCounters counters) {
        Evidence.Builder evidence = Evidence.newBuilder()
                .setModel(key.version().model())
                .setVersion(key.version().version())
                .setRoute(key.cell().route())
                .setUnderLoad(key.cell().underLoad())
                .setRequests(counters.requests())
                .setFailures(counters.failures());
        for (int bucket = 0; bucket < TimeHistogram.BUCKETS; bucket++) {
            evidence.addTimes(counters.times().count(bucket));
        }
        return Frame.newBuilder().setEvidence(evidence).build();
    }

    /** Returns the controller event for an agent's evidence message, or empty if the message is malformed. */
    public static Optional<ControllerEvent.EvidenceReported> toEvent(
            String upstreamId, long incarnation, Evidence evidence) {
        try {
            long[] times =
                    evidence.getTimesList().stream().mapToLong(Long::longValue).toArray();
            return Optional.of(new ControllerEvent.EvidenceReported(
                    upstreamId,
                    incarnation,
                    new ModelVersion(evidence.getModel(), evidence.getVersion()),
                    new RouteLoadKey(evidence.getRoute(), evidence.getUnderLoad()),
                    new EvidenceCounters(evidence.getRequests(), evidence.getFailures(), TimeHistogram.of(times))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
