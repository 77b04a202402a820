package dev.wigeonward.gateway.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Platform-specific information in the headers of a caller's request.
 *
 * @param attemptId identifier of this attempt, which answers of upstreams repeat
 * @param deadlineMillis time that the caller waits for the answer
 * @param apiKey secret key that identifies the workspace
 * @param promptTokens number of prompt tokens, 0 if not stated
 * @param maxOutputTokens largest number of output tokens, 0 if not stated
 * @param expectedOutputTokens caller's estimate of the number of output tokens, 0 if not stated
 */
public record CallerHead(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        int promptTokens,
        int maxOutputTokens,
        int expectedOutputTokens) {}
