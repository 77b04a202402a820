package dev.wigeonward.common.store;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wigeonward.core.dispatch.ClaimResult;
import dev.wigeonward.core.request.RequestId;

/** Value of a claim in the store, encoded as JSON. */
record ClaimValue(
        String claimId,
        String requestId,
        String fingerprint,
        String upstreamId,
        long upstreamIncarnation,
        Optional<StoredOutcome> outcome) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static ClaimValue of(String claimId, ClaimRequest request, Optional<StoredOutcome> outcome) {
        return new ClaimValue(
                claimId,
                request.request().value(),
                request.fingerprint(),
                request.upstreamId(),
                request.upstreamIncarnation(),
                outcome);
    }

    /** Returns the parsed value, or empty if the text is not a valid claim. */
    static Optional<ClaimValue> parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            if (node.path("claim_id").asText().isEmpty()
                    || node.path("request_id").asText().isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(new ClaimValue(
                    node.path("claim_id").asText(),
                    node.path("request_id").asText(),
                    node.path("fingerprint").asText(),
                    node.path("upstream_id").asText(),
                    Long.parseUnsignedLong(node.path("upstream_incarnation").asText("0"), 16),
                    parseOutcome(node.path("outcome"))));
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<StoredOutcome> parseOutcome(JsonNode node) throws IOException {
        if (!node.isObject()) {
            return Optional.empty();
        }
        int status = node.path("status").asInt();
        String contentType = node.path("content_type").asText();
        return Optional.of(
                node.has("body")
                        ? StoredOutcome.of(
                                status, contentType, node.path("body").binaryValue())
                        : StoredOutcome.withoutBody(status, contentType));
    }

    /** Returns the value as JSON. */
    String toJson() {
        ObjectNode node = EtcdJson.object()
                .put("claim_id", claimId)
                .put("request_id", requestId)
                .put("fingerprint", fingerprint)
                .put("upstream_id", upstreamId)
                .put("upstream_incarnation", Long.toHexString(upstreamIncarnation))
                .put("state", outcome.isPresent() ? "done" : "claimed");
        outcome.ifPresent(done -> {
            ObjectNode stored =
                    node.putObject("outcome").put("status", done.status()).put("content_type", done.contentType());
            done.body().ifPresent(body -> stored.put("body", body));
        });
        return node.toString();
    }

    /** Returns the reply to a request with the given fingerprint for the key that this claim holds. */
    ClaimResponse replyTo(String otherFingerprint) {
        if (!fingerprint.equals(otherFingerprint)) {
            return ClaimResponse.of(new ClaimResult.ContentMismatch());
        }
        if (outcome.isPresent()) {
            return new ClaimResponse(new ClaimResult.OutcomeStored(), Optional.empty(), outcome);
        }
        return ClaimResponse.of(
                new ClaimResult.HeldByOther(claimId, new RequestId(requestId), upstreamId, upstreamIncarnation));
    }
}
