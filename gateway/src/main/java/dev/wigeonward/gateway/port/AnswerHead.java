package dev.wigeonward.gateway.port;

import java.util.Optional;

/**
 * What a platform's headers say of an upstream's answer.
 *
 * @param attemptId identifier of the attempt that is answered, if the answer names one
 * @param signed true if the answer carries the upstream's signature
 * @param notRun true if the upstream states that it did not run the request
 */
public record AnswerHead(Optional<String> attemptId, boolean signed, boolean notRun) {}
