package dev.wigeonward.core.suspect;

import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.dispatch.SuspectPolicy;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectTableTest {
    private static final long FINGERPRINT = 5;
    private static final long LIFETIME_MILLIS = SuspectTable.FACT_LIFETIME_MILLIS;

    private final SuspectTable table = SuspectTable.create();

    /**
     * Guards against the refusal of a request that was running on a crashed upstream only once, and against copies of
     * it that run at the same time.
     */
    @Test
    void oneDeathAllowsOneRunAtATime() {
        table.recordDispatch(FINGERPRINT);
        table.recordDispatch(FINGERPRINT);
        table.onUpstreamDied(FINGERPRINT, "u1", 0);
        table.recordEnd(FINGERPRINT);
        assertThat(table.restriction(FINGERPRINT, 1)).isEqualTo(SuspectRestriction.ONE_AT_A_TIME);
        assertThat(table.mayDispatch(FINGERPRINT, 1)).isFalse();
        table.recordEnd(FINGERPRINT);
        assertThat(table.mayDispatch(FINGERPRINT, 1)).isTrue();
    }

    /** Guards against a refusal that ends too early, never ends, or is prolonged by facts merged repeatedly. */
    @Test
    void twoDeathsRefuseForTenMinutesAfterTheLastAddition() {
        table.onUpstreamDied(FINGERPRINT, "u1", 0);
        table.onUpstreamDied(FINGERPRINT, "u2", 1_000);
        table.merge(new SuspectFact(FINGERPRINT, Set.of("u1", "u2")), 500_000);
        assertThat(table.restriction(FINGERPRINT, 1_000 + LIFETIME_MILLIS - 1)).isEqualTo(SuspectRestriction.REFUSED);
        assertThat(table.restrictedForMillis(FINGERPRINT, 1_000 + LIFETIME_MILLIS - 1))
                .isEqualTo(1);
        assertThat(table.restriction(FINGERPRINT, 1_000 + LIFETIME_MILLIS)).isEqualTo(SuspectRestriction.NONE);
        assertThat(table.restrictedForMillis(FINGERPRINT, 1_000 + LIFETIME_MILLIS))
                .isZero();
    }

    /** Guards against two peers that renew an expired fact forever by sending it to each other. */
    @Test
    void expiredFactsAreNotRenewedByAPeer() {
        SuspectFact fact = new SuspectFact(FINGERPRINT, Set.of("u1", "u2"));
        table.merge(fact, 0);
        assertThat(table.activeFacts(LIFETIME_MILLIS)).isEmpty();
        assertThat(table.merge(fact, LIFETIME_MILLIS + 5_000)).isEmpty();
        assertThat(table.restriction(FINGERPRINT, LIFETIME_MILLIS + 5_000)).isEqualTo(SuspectRestriction.NONE);
        assertThat(table.merge(new SuspectFact(FINGERPRINT, Set.of("u1", "u3")), LIFETIME_MILLIS + 6_000))
                .contains(new SuspectFact(FINGERPRINT, Set.of("u3")));
    }

    /** Guards against a table that grows without bound or removes the newest fingerprints. */
    @Test
    void oldestFingerprintsAreRemovedFirst() {
        SuspectTable small = SuspectTable.withCapacity(2);
        small.onUpstreamDied(1, "u1", 0);
        small.onUpstreamDied(2, "u1", 1);
        small.onUpstreamDied(1, "u2", 2);
        small.onUpstreamDied(3, "u1", 3);
        assertThat(small.size()).isEqualTo(2);
        assertThat(small.restriction(1, 4)).isEqualTo(SuspectRestriction.REFUSED);
        assertThat(small.restriction(2, 4)).isEqualTo(SuspectRestriction.NONE);
    }

    /** Guards against facts that circulate forever between peers because they are forwarded without being new. */
    @Test
    void onlyNewFactsAreForwarded() {
        assertThat(table.onUpstreamDied(FINGERPRINT, "u1", 0)).isPresent();
        assertThat(table.merge(new SuspectFact(FINGERPRINT, Set.of("u1")), 1)).isEqualTo(Optional.empty());
        assertThat(table.merge(new SuspectFact(FINGERPRINT, Set.of("u2")), 2))
                .contains(new SuspectFact(FINGERPRINT, Set.of("u1", "u2")));
    }

    /** Guards against a policy that confuses waiting with refusal. */
    @Test
    void policyDecidesByTheTable() {
        SuspectPolicy policy = SuspectTablePolicy.of(table, SuspectPartTable.withCapacity(1));
        RequestSpec request = new RequestSpec(
                RequestId.of("e", 1, 1),
                Optional.empty(),
                Tier.STANDARD,
                "workspace",
                "model",
                "route",
                new WorkEstimate(1, 1, 0),
                1_000,
                true,
                FINGERPRINT);
        policy.recordDispatch(request, 0);
        assertThat(policy.decide(request, 0)).isEqualTo(SuspectPolicy.Decision.PASS);
        table.onUpstreamDied(FINGERPRINT, "u1", 0);
        assertThat(policy.decide(request, 0)).isEqualTo(SuspectPolicy.Decision.WAIT);
        policy.recordEnd(request, 0);
        assertThat(policy.decide(request, 0)).isEqualTo(SuspectPolicy.Decision.PASS);
        table.onUpstreamDied(FINGERPRINT, "u2", 0);
        assertThat(policy.decide(request, 0)).isEqualTo(SuspectPolicy.Decision.REFUSE);
    }
}
