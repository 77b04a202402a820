package dev.wigeonward.common.store;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/** The answer of a completed request, kept for resends with the same key. */
public final class StoredOutcome {
    /** Bodies longer than this are not kept; a resend then learns only that the request was answered. */
    public static final int BODY_LIMIT_BYTES = 16 * 1024;

    private final int status;
    private final String contentType;
    private final byte[] body;

    private StoredOutcome(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = Objects.requireNonNull(contentType, "contentType");
        this.body = body;
    }

    /** Returns the outcome of an answer; a body over the limit is left out. */
    public static StoredOutcome of(int status, String contentType, byte[] body) {
        return new StoredOutcome(status, contentType, body.length > BODY_LIMIT_BYTES ? null : body.clone());
    }

    /** Returns the outcome of an answer whose body is not kept. */
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

    /** Returns the body, or empty if it was too long to keep. */
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
