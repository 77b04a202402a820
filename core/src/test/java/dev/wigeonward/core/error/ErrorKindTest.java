package dev.wigeonward.core.error;

import java.util.EnumSet;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ErrorKindTest {
    /** Kinds that occur only for requests with a key, whose claim attaches a resend to the first copy or refuses it. */
    private static final Set<ErrorKind> PROTECTED_BY_CLAIM =
            EnumSet.of(ErrorKind.IN_PROGRESS, ErrorKind.CLAIM_UNAVAILABLE, ErrorKind.CLAIM_UNREAD);

    /** Guards against a retryable kind for a request that may have run, which a resend would run a second time. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void retryableKindsAreNotRunOrProtectedByAClaim(ErrorKind kind) {
        if (kind.retryable() && !PROTECTED_BY_CLAIM.contains(kind)) {
            assertThat(kind.runState()).isEqualTo(RunState.NOT_RUN);
        }
    }

    /** Guards against a kind whose name on a link cannot be parsed by the receiver. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void wireNameCanBeParsed(ErrorKind kind) {
        assertThat(ErrorKind.fromWireName(kind.wireName())).contains(kind);
    }
}
