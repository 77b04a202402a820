package dev.wigeonward.gateway.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.wigeonward.core.schedule.PromptPrefix;

/**
 * Platform-specific information in the headers of a caller's request.
 *
 * @param attemptId identifier of this attempt, which answers of upstreams repeat
 * @param deadlineMillis time that the caller waits for the answer
 * @param apiKey secret key that identifies the workspace
 * @param promptTokens number of prompt tokens, 0 if not stated
 * @param maxOutputTokens largest number of output tokens, 0 if not stated
 * @param expectedOutputTokens caller's estimate of the number of output tokens, 0 if not stated
 * @param prefixes prefixes of the prompt that other requests may share, the shortest first
 * @param sharedParts identifiers of the single parts of the prompt that other requests may share
 */
public record CallerHead(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        int promptTokens,
        int maxOutputTokens,
        int expectedOutputTokens,
        List<PromptPrefix> prefixes,
        List<Long> sharedParts) {
    public CallerHead {
        prefixes = List.copyOf(prefixes);
        sharedParts = List.copyOf(sharedParts);
    }
}
