package dev.wigeonward.core.admission;

import java.util.List;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestSpec;

/** Result of offering a request to an admission queue. */
public sealed interface AdmissionResult {
    /**
     * The request was queued.
     *
     * @param displaced requests removed from the full queue to make room; they are of lower tiers or of a workspace
     *     over its share in the same tier, and have not run
     */
    record Queued(List<RequestSpec> displaced) implements AdmissionResult {
        public Queued {
            displaced = List.copyOf(displaced);
        }
    }

    /** The request was refused and has not run. */
    record Refused(Failure failure) implements AdmissionResult {}
}
