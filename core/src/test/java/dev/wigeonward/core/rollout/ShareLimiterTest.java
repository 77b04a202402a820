package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ShareLimiterTest {
    private static final ModelVersion VERSION = new ModelVersion("model", "v2");

    private interface Limiter {
        boolean count(ModelVersion version, String route, int shareBasisPoints, boolean candidate);
    }

    /** Guards against a total share that is exceeded because each entry rounds up its own part of it. */
    @Property(tries = 200)
    void entriesTogetherStayWithinShare(
            @ForAll @IntRange(min = 1, max = 60) int entries,
            @ForAll @IntRange(min = 1, max = 10_000) int shareBasisPoints,
            @ForAll @IntRange(min = 1, max = 3_000) int requests,
            @ForAll long seed) {
        checkShareOverEntries(() -> new ShareLimiter()::count, entries, shareBasisPoints, requests, seed);
    }

    /** Verifies that the check above fails for a limiter that rounds up at each entry. */
    @Test
    void checkFailsForLimiterThatRoundsUp() {
        checkShareOverEntries(() -> new ShareLimiter()::count, 40, 200, 1_000, 1);
        assertThatThrownBy(() -> checkShareOverEntries(RoundingUpLimiter::new, 40, 200, 1_000, 1))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against a limiter that stays within the share only because it sends too little or nothing. */
    @Test
    void shareIsUsedByAnEntryWithManyRequests() {
        ShareLimiter limiter = new ShareLimiter();
        int sent = 0;
        for (int i = 0; i < 10_000; i++) {
            sent += limiter.count(VERSION, "chat", 200, true) ? 1 : 0;
        }
        assertThat(sent).isEqualTo(200);
    }

    /** Guards against a burst to the new version from credit that accumulated while it had no upstream. */
    @Test
    void creditOfAPauseIsBounded() {
        ShareLimiter limiter = new ShareLimiter();
        for (int i = 0; i < 10_000; i++) {
            limiter.count(VERSION, "chat", 200, false);
        }
        int sent = 0;
        for (int i = 0; i < 10; i++) {
            sent += limiter.count(VERSION, "chat", 200, true) ? 1 : 0;
        }
        assertThat(sent).isEqualTo(4);
    }

    private static void checkShareOverEntries(
            Supplier<Limiter> limiters, int entries, int shareBasisPoints, int requests, long seed) {
        Random random = new Random(seed);
        List<Limiter> all = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            all.add(limiters.get());
        }
        Map<String, long[]> countsByRoute = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            String route = "route" + random.nextInt(3);
            boolean candidate = random.nextInt(4) > 0;
            Limiter limiter = all.get(random.nextInt(entries));
            long[] counts = countsByRoute.computeIfAbsent(route, key -> new long[2]);
            counts[0]++;
            counts[1] += limiter.count(VERSION, route, shareBasisPoints, candidate) ? 1 : 0;
            assertThat(counts[1]).isLessThanOrEqualTo(counts[0] * shareBasisPoints / Stage.ALL_BASIS_POINTS);
        }
    }

    /** A faulty limiter that allows ceil(share × requests) at each entry. */
    private static final class RoundingUpLimiter implements Limiter {
        private final Map<String, long[]> countsByRoute = new HashMap<>();

        @Override
        public boolean count(ModelVersion version, String route, int shareBasisPoints, boolean candidate) {
            long[] counts = countsByRoute.computeIfAbsent(route, key -> new long[2]);
            counts[0]++;
            if (!candidate || counts[1] * Stage.ALL_BASIS_POINTS >= counts[0] * shareBasisPoints) {
                return false;
            }
            counts[1]++;
            return true;
        }
    }
}
