package dev.wigeonward.agent.runtime;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.wire.generated.Usage;

/** Parses the token usage that a model engine reports at the end of an answer. */
final class UsageParser {
    private static final JsonFactory FACTORY = Json.mapper().getFactory();
    private static final String FIELD = "\"usage\":";

    private UsageParser() {}

    /** Returns the usage in the last bytes of an answer, or zeros if there is none, as in answers of plain services. */
    static Usage parse(byte[] tail) {
        String text = new String(tail, StandardCharsets.UTF_8);
        int field = text.lastIndexOf(FIELD);
        if (field < 0) {
            return Usage.getDefaultInstance();
        }
        // The parser stops after the first value and ignores what follows the usage.
        try (JsonParser parser = FACTORY.createParser(text.substring(field + FIELD.length()))) {
            JsonNode usage = Json.mapper().readTree(parser);
            return Usage.newBuilder()
                    .setPromptTokens(usage.path("prompt_tokens").asInt())
                    .setOutputTokens(usage.path("completion_tokens").asInt())
                    .setCachedPromptTokens(usage.path("prompt_tokens_details")
                            .path("cached_tokens")
                            .asInt())
                    .build();
        } catch (IOException e) {
            return Usage.getDefaultInstance();
        }
    }
}
