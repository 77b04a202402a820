package dev.wigeonward.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import dev.wigeonward.common.http.Json;

/**
 * The fields of a chat completion request that scheduling uses.
 *
 * @param sharedParts hashes of the messages that other requests may contain, which are all but the last
 */
record ChatRequest(
        String model, int promptTokens, OptionalInt maxOutputTokens, long prefixHash, List<Long> sharedParts) {
    /** English text has about four characters per token; engines report the exact count after the run. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Length of the prompt prefix that determines cache affinity; shorter prompts have none. */
    private static final int PREFIX_CHARACTERS = 1_024;

    ChatRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    static Result parse(byte[] body) {
        Optional<JsonNode> json = Json.read(body).filter(JsonNode::isObject);
        if (json.isEmpty()) {
            return new Result.Invalid("the body is not a JSON object");
        }
        JsonNode model = json.get().path("model");
        JsonNode messages = json.get().path("messages");
        if (!model.isTextual() || model.asText().isEmpty()) {
            return new Result.Invalid("model must be a non-empty string");
        }
        if (!messages.isArray() || messages.isEmpty()) {
            return new Result.Invalid("messages must be a non-empty array");
        }
        StringBuilder prompt = new StringBuilder();
        List<Long> parts = new ArrayList<>();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            String text = content.isTextual() ? content.asText() : content.toString();
            prompt.append(text);
            parts.add(partHash(model.asText(), text));
        }
        return maxOutputTokens(json.get())
                .<Result>map(tokens -> new Result.Valid(new ChatRequest(
                        model.asText(),
                        (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
                        tokens,
                        prefixHash(prompt),
                        parts.subList(0, parts.size() - 1))))
                .orElseGet(() -> new Result.Invalid("max_tokens or max_completion_tokens must be a positive integer"));
    }

    private static Optional<OptionalInt> maxOutputTokens(JsonNode json) {
        JsonNode value =
                json.has("max_completion_tokens") ? json.get("max_completion_tokens") : json.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return Optional.of(OptionalInt.empty());
        }
        if (!value.canConvertToInt() || !value.isIntegralNumber() || value.asInt() <= 0) {
            return Optional.empty();
        }
        return Optional.of(OptionalInt.of(value.asInt()));
    }

    private static long partHash(String model, String text) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(model, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(text, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private static long prefixHash(StringBuilder prompt) {
        if (prompt.length() < PREFIX_CHARACTERS) {
            return 0;
        }
        return Hashing.murmur3_128()
                .hashString(prompt.substring(0, PREFIX_CHARACTERS), StandardCharsets.UTF_8)
                .asLong();
    }

    /** The result of parsing a body. */
    sealed interface Result {
        /** The body is a chat completion request. */
        record Valid(ChatRequest request) implements Result {}

        /** The body is not a chat completion request; the message says why. */
        record Invalid(String message) implements Result {}
    }
}
