package dev.wigeonward.core.error;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ErrorKindTest {
    /** Guards against a kind that invites a resend of a request which may have run. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void retryableKindsAreNotRunOrStillAttached(ErrorKind kind) {
        if (kind.retryable() && kind != ErrorKind.IN_PROGRESS) {
            assertThat(kind.runState()).isEqualTo(RunState.NOT_RUN);
        }
    }

    /** Guards against a kind that a peer cannot read back from the link. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void wireNameReadsBack(ErrorKind kind) {
        assertThat(ErrorKind.fromWireName(kind.wireName())).contains(kind);
    }
}
