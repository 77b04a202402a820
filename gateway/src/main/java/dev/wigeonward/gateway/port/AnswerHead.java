package dev.wigeonward.gateway.port;

import java.util.Optional;
import java.util.OptionalLong;

import dev.wigeonward.core.schedule.ColdStatement;

/**
 * Platform-specific information in the headers of an upstream's answer.
 *
 * @param attemptId identifier of the answered attempt, if the answer states one
 * @param signed whether the answer carries the upstream's signature
 * @param notRun whether the upstream states that it did not run the request
 * @param leaving whether the upstream states that it is about to stop
 * @param retryAfterMillis time for which the upstream, which turned the request away, wants no further ones
 * @param cold what the upstream states about being cold
 * @param malformed header whose value cannot be read, shortened for a log
 */
public record AnswerHead(
        Optional<String> attemptId,
        boolean signed,
        boolean notRun,
        boolean leaving,
        OptionalLong retryAfterMillis,
        ColdStatement cold,
        Optional<String> malformed) {}
