package dev.wigeonward.common.store;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/** Answer to a completed request, stored for resends with the same idempotency key. */
public final class StoredOutcome {
    /** Longest body that is stored; for a longer one, a resend is told only that the request was answered. */
    public static final int MAX_BODY_BYTES = 16 * 1024;

    private final int status;
    private final String contentType;
    private final byte[] body;

    private StoredOutcome(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = Objects.requireNonNull(contentType, "contentType");
        this.body = body;
    }

    /** Returns the outcome for an answer, without the body if that exceeds the limit. */
    public static StoredOutcome of(int status, String contentType, byte[] body) {
        return new StoredOutcome(status, contentType, body.length > MAX_BODY_BYTES ? null : body.clone());
    }

    /** Returns the outcome for an answer whose body is not stored. */
    public static StoredOutcome withoutBody(int status, String contentType) {
        return new StoredOutcome(status, contentType, null);
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns the content type of the answer. */
    public String contentType() {
        return contentType;
    }

    /** Returns the body, or empty if it was not stored. */
    public Optional<byte[]> body() {
        return Optional.ofNullable(body).map(byte[]::clone);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredOutcome outcome
                && status == outcome.status
                && contentType.equals(outcome.contentType)
                && Arrays.equals(body, outcome.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, Arrays.hashCode(body));
    }

    @Override
    public String toString() {
        return status + " " + contentType + ", " + (body == null ? "body not kept" : body.length + " bytes");
    }
}
