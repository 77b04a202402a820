package dev.wigeonward.core.admission;

import java.util.List;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestSpec;

/** Outcome of offering a request to an admission queue. */
public sealed interface AdmissionResult {
    /**
     * The request waits; the displaced requests, of lower tiers or of a workspace over its share in the same tier, left
     * the queue for it and have not run.
     */
    record Queued(List<RequestSpec> displaced) implements AdmissionResult {
        public Queued {
            displaced = List.copyOf(displaced);
        }
    }

    /** The request was refused and has not run. */
    record Refused(Failure failure) implements AdmissionResult {}
}
