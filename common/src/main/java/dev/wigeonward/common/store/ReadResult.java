package dev.wigeonward.common.store;

import java.util.Optional;

/** Result of a call that does not change the store. */
public sealed interface ReadResult<T> {
    /** Returns the content that was read, or empty if the read failed. */
    default Optional<T> toOptional() {
        return Optional.empty();
    }

    /** The service answered with its state at a revision. */
    record Success<T>(T content, long revision) implements ReadResult<T> {
        @Override
        public Optional<T> toOptional() {
            return Optional.of(content);
        }
    }

    /** The service did not answer in time, or answered with an error. */
    record Unavailable<T>(String reason) implements ReadResult<T> {}

    /** The call exceeded the call budget of this process or the rate limit of the service. */
    record RateLimited<T>(String reason) implements ReadResult<T> {}
}
