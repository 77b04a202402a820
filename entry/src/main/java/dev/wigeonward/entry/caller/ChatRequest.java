package dev.wigeonward.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import dev.wigeonward.common.http.Json;

/** The fields of a chat completion request that scheduling uses. */
record ChatRequest(String model, int promptTokens, OptionalInt maxOutputTokens, long prefixHash) {
    /** English text has about four characters per token; engines report the exact count after the run. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Length of the prompt prefix that determines cache affinity; shorter prompts have none. */
    private static final int PREFIX_CHARACTERS = 1_024;

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
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            prompt.append(content.isTextual() ? content.asText() : content.toString());
        }
        return maxOutputTokens(json.get())
                .<Result>map(tokens -> new Result.Valid(new ChatRequest(
                        model.asText(),
                        (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
                        tokens,
                        prefixHash(prompt))))
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
