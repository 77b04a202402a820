package dev.wigeonward.common.store;

import java.util.Map;

/** Result of a call that changes the store; only {@link OutcomeUnknown} leaves open whether it took effect. */
public sealed interface WriteResult {
    /** The write took effect at a revision. */
    record Applied(long revision) implements WriteResult {}

    /** A condition did not hold, and nothing changed; holds the current state of each compared key that exists. */
    record CompareFailed(Map<String, KeyValue> current, long revision) implements WriteResult {
        public CompareFailed {
            current = Map.copyOf(current);
        }
    }

    /** The service refused the write as invalid, for example for a lease that it does not know. */
    record NotApplied(String reason) implements WriteResult {}

    /** The write was sent and no answer came; it took effect, did not, or still will. */
    record OutcomeUnknown(String reason) implements WriteResult {}

    /** The write was not sent, or the service had no leader; nothing changed. */
    record Unavailable(String reason) implements WriteResult {}

    /** The write was over the own budget or the service's limit; nothing changed. */
    record RateLimited(String reason) implements WriteResult {}
}
