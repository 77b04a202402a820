package dev.wigeonward.common.store;

import java.util.Optional;

/** Result of a call that changes nothing. */
public sealed interface ReadResult<T> {
    /** Returns the value if the service answered. */
    default Optional<T> value() {
        return Optional.empty();
    }

    /** The service answered with the state at a revision. */
    record Read<T>(T content, long revision) implements ReadResult<T> {
        @Override
        public Optional<T> value() {
            return Optional.of(content);
        }
    }

    /** The service did not answer in time, or with an error. */
    record Unavailable<T>(String reason) implements ReadResult<T> {}

    /** The call was over the own budget or the service's limit. */
    record RateLimited<T>(String reason) implements ReadResult<T> {}
}
