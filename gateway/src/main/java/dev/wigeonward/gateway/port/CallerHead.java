package dev.wigeonward.gateway.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a platform's headers say of a caller's request.
 *
 * @param attemptId identifier of this attempt; answers of upstreams repeat it
 * @param deadlineMillis how long the caller waits
 * @param key secret that names the tenant
 * @param promptTokens prompt tokens, 0 if not stated
 * @param outputTokens most output tokens, 0 if not stated
 * @param expectedOutputTokens the caller's estimate of the output tokens, 0 if not stated
 */
public record CallerHead(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        Optional<String> key,
        int promptTokens,
        int outputTokens,
        int expectedOutputTokens) {}
