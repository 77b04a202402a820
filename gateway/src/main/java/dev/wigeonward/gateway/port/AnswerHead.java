package dev.wigeonward.gateway.port;

import java.util.Optional;

/**
 * Platform-specific information in the headers of an upstream's answer.
 *
 * @param attemptId identifier of the answered attempt, if the answer states one
 * @param signed whether the answer carries the upstream's signature
 * @param notRun whether the upstream states that it did not run the request
 */
public record AnswerHead(Optional<String> attemptId, boolean signed, boolean notRun) {}
