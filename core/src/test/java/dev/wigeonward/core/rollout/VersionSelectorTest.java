package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.core.rollout.Requests.request;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class VersionSelectorTest {
    private static final Set<String> BOTH = Set.of("v1", "v2");
    private static final BadVerdict BAD = new BadVerdict(new ModelVersion("model", "v2"), "fails");

    /** An entry's view and selector combined, so that a faulty variant can be tested in its place. */
    private interface Entry {
        void publish(ControllerStages stages, long nowMillis);

        void addVerdict(BadVerdict verdict);

        Optional<String> select(RequestSpec request, long nowMillis);
    }

    /** Guards against requests to a bad version because a publication after the verdict gives it a share again. */
    @Property
    void badVersionGetsNothingAfterVerdict(@ForAll @Size(max = 80) List<@IntRange(max = 99) Integer> steps) {
        checkNothingAfterVerdict(new RealEntry(), steps);
    }

    /** Verifies that the check above fails for an entry that drops its verdicts with the next publication. */
    @Test
    void checkFailsForEntryThatDropsVerdicts() {
        List<Integer> steps = List.of(10, 0, 11, 50);
        checkNothingAfterVerdict(new RealEntry(), steps);
        assertThatThrownBy(() -> checkNothingAfterVerdict(new VerdictDroppingEntry(), steps))
                .isInstanceOf(AssertionError.class);
    }

    /**
     * Guards against an entry without contact to the controller that keeps sending requests to a version without a
     * verdict.
     */
    @Test
    void shareEndsWithTheLeaseUnlessVerdictIsGood() {
        RealEntry entry = new RealEntry();
        entry.publish(stages(1, 1, 10_000, false), 0);
        assertThat(entry.select(request(0, 1, "chat", Tier.STANDARD), 9_999)).contains("v2");
        entry.publish(stages(1, 1, 10_000, false), 9_999);
        assertThat(entry.select(request(0, 2, "chat", Tier.STANDARD), 10_000)).contains("v1");
        entry.publish(stages(1, 2, 10_000, true), 10_000);
        assertThat(entry.select(request(0, 3, "chat", Tier.STANDARD), 900_000)).contains("v2");
    }

    /** Guards against stages that are reverted by a publication of a former controller or by a delayed frame. */
    @Test
    void olderPublicationNeverReplacesNewer() {
        StageView view = new StageView();
        assertThat(view.apply(stages(2, 1, 200, false), 0)).isTrue();
        assertThat(view.apply(stages(1, 9, 10_000, false), 0)).isFalse();
        assertThat(view.apply(stages(2, 1, 10_000, false), 0)).isFalse();
        assertThat(view.shareBasisPoints("model", 0)).isEqualTo(200);
        assertThat(view.forRelay(4_000).stages().get(0).leaseMillis()).isEqualTo(6_000);
    }

    /** Guards against a correct total share that is taken from some tiers only because they alternate. */
    @Test
    void routesAndTiersAreSampledEvenly() {
        RealEntry entry = new RealEntry();
        entry.publish(stages(1, 1, 1_000, true), 0);
        Map<Tier, Integer> sentByTier = new HashMap<>();
        int perTier = 20_000;
        for (int i = 0; i < perTier * Tier.values().length; i++) {
            Tier tier = Tier.values()[i % Tier.values().length];
            if (entry.select(request(0, i, "chat", tier), 0).equals(Optional.of("v2"))) {
                sentByTier.merge(tier, 1, Integer::sum);
            }
        }
        assertThat(sentByTier.values()).hasSize(3).allSatisfy(sent -> assertThat(sent)
                .isBetween(1_800, 2_200));
    }

    /** Guards against a share that is exceeded because retries of a request that did not run add credit each time. */
    @Test
    void repeatedSelectionForTheSameRequestCountsOnce() {
        RealEntry entry = new RealEntry();
        entry.publish(stages(1, 1, 200, true), 0);
        for (int i = 0; i < 49; i++) {
            for (int attempt = 0; attempt < 5; attempt++) {
                assertThat(entry.select(request(0, i, "chat", Tier.BATCH), 0)).contains("v1");
            }
        }
    }

    /**
     * Guards against requests to a version without a verdict from an entry that has just started and has no stages yet.
     */
    @Test
    void withoutRolloutOnlyTheKnownVersionServes() {
        VersionSelector selector = new VersionSelector(new StageView(), new ShareLimiter());
        RequestSpec request = request(0, 1, "chat", Tier.CRITICAL);
        assertThat(selector.select(request, BOTH, 0)).isEmpty();
        assertThat(selector.select(request, Set.of("v1"), 0)).contains("v1");
        assertThat(selector.select(request, BOTH, 0)).contains("v1");
    }

    /** Guards against refused requests after completion because only one of the versions has upstreams. */
    @Test
    void eitherVersionServesAfterCompletion() {
        StageView view = new StageView();
        view.apply(stages(1, 1, 10_000, true), 0);
        VersionSelector selector = new VersionSelector(view, new ShareLimiter());
        RequestSpec request = request(0, 1, "chat", Tier.CRITICAL);
        assertThat(selector.select(request, Set.of("v1"), 0)).contains("v1");
        assertThat(selector.select(request, Set.of("v2"), 0)).contains("v2");
        assertThat(selector.select(request, BOTH, 0)).contains("v2");
    }

    /** Adds the verdict (step below 10), publishes stages (below 50), or selects a version and checks it (others). */
    private static void checkNothingAfterVerdict(Entry entry, List<Integer> steps) {
        boolean known = false;
        for (int i = 0; i < steps.size(); i++) {
            int step = steps.get(i);
            if (step < 10) {
                entry.addVerdict(BAD);
                known = true;
            } else if (step < 50) {
                entry.publish(stages(1 + step % 5, i, 10_000, step % 2 == 0), i * 100L);
            } else {
                Optional<String> chosen = entry.select(request(0, i, "chat", Tier.STANDARD), i * 100L);
                if (known) {
                    assertThat(chosen).isNotEqualTo(Optional.of("v2"));
                }
            }
        }
    }

    private static ControllerStages stages(long fencing, long sequence, int share, boolean hasGoodVerdict) {
        return new ControllerStages(
                fencing, sequence, List.of(new Stage("model", "v1", "v2", share, 10_000, hasGoodVerdict)));
    }

    private static final class RealEntry implements Entry {
        private final StageView view = new StageView();
        private final VersionSelector selector = new VersionSelector(view, new ShareLimiter());

        @Override
        public void publish(ControllerStages stages, long nowMillis) {
            view.apply(stages, nowMillis);
        }

        @Override
        public void addVerdict(BadVerdict verdict) {
            view.merge(List.of(verdict));
        }

        @Override
        public Optional<String> select(RequestSpec request, long nowMillis) {
            return selector.select(request, BOTH, nowMillis);
        }
    }

    /** A faulty entry that drops its known verdicts with each publication. */
    private static final class VerdictDroppingEntry implements Entry {
        private final Set<ModelVersion> bad = new HashSet<>();
        private final RealEntry entry = new RealEntry();

        @Override
        public void publish(ControllerStages stages, long nowMillis) {
            bad.clear();
            entry.publish(stages, nowMillis);
        }

        @Override
        public void addVerdict(BadVerdict verdict) {
            bad.add(verdict.version());
        }

        @Override
        public Optional<String> select(RequestSpec request, long nowMillis) {
            return entry.select(request, nowMillis)
                    .filter(version -> !bad.contains(new ModelVersion("model", version)));
        }
    }
}
