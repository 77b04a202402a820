package dev.wigeonward.verification.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the TLA+ specifications with TLC. */
class ModelCheckTest {
    /** Guards against a protocol that breaks an invariant in a reachable state within the bounds of the model. */
    @ParameterizedTest
    @CsvSource({
        "Dispatch, DispatchUnkeyed",
        "Dispatch, DispatchReattach",
        "Dispatch, DispatchMove",
        "Revisions, Revisions",
        "Orders, Orders"
    })
    void allReachableStatesKeepTheInvariants(String specification, String configuration) {
        long startNanos = System.nanoTime();
        Tlc.Result result = Tlc.check(specification, configuration, "");
        System.out.printf(
                "TLC %s: %d distinct states, depth %d, %.1f s%n",
                configuration, result.distinctStates(), result.depth(), (System.nanoTime() - startNanos) / 1e9);
        assertThat(result.violated()).as(result.output()).isEmpty();
        assertThat(result.complete()).as(result.output()).isTrue();
        assertThat(result.distinctStates()).as(result.output()).isGreaterThan(1_000);
    }

    /** Verifies that TLC finds a state that breaks the invariant when the guard is disabled. */
    @ParameterizedTest
    @CsvSource({
        "Dispatch, DispatchUnkeyed, GuardTombstone, NotRunIsTrue",
        "Dispatch, DispatchUnkeyed, GuardIncarnation, NotRunIsTrue",
        "Dispatch, DispatchUnkeyed, GuardRefused, NotRunIsTrue",
        "Dispatch, DispatchUnkeyed, GuardMemory, NotRunIsTrue",
        "Dispatch, DispatchReattach, GuardAttach, RunHoldsClaim",
        "Dispatch, DispatchReattach, GuardDoubt, RunHoldsClaim",
        "Dispatch, DispatchMove, GuardTakeOver, RunHoldsClaim",
        "Dispatch, DispatchMove, GuardMove, RunHoldsClaim",
        "Dispatch, DispatchOnce, GuardTombstone, RunsAtMostOnce",
        "Revisions, Revisions, GuardSwap, TextIsAccepted",
        "Revisions, Revisions, GuardHigher, NumberNeverGoesDown",
        "Revisions, Revisions, GuardHash, TextIsAccepted",
        "Orders, Orders, GuardFencing, NoOldOrderAfterNewer",
        "Orders, Orders, GuardStoreRead, NoOldOrderAfterNewer",
        "Orders, Orders, GuardNoLease, NoOldOrderAfterNewer",
        "Orders, Orders, GuardFreshRead, NoOldOrderAfterNewer"
    })
    void checkerRejectsProtocolWithoutGuard(
            String specification, String configuration, String guard, String invariant) {
        Tlc.Result result = Tlc.check(specification, configuration, guard);
        assertThat(result.violated()).as(result.output()).isEqualTo(invariant);
    }
}
