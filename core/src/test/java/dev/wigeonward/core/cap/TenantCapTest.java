package dev.wigeonward.core.cap;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class TenantCapTest {
    private static final long RATE = 50_000;
    private static final long CAPACITY = 60_000;
    private static final int WINDOW_SECONDS = 8;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_MILLIS = 100;
    private static final long SECONDS = 20;
    /** Part of the cap by which reports on the way and single large requests may exceed it; the users tolerate more. */
    private static final double TOLERATED = 0.17;

    /** Guards against entries that together let more pass in a window than the cap and its tolerance. */
    @Property(tries = 40)
    void entriesThatHearEachOtherStayWithinTheCap(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 6) int entries,
            @ForAll @DoubleRange(min = 1.2, max = 6) double demand) {
        List<Long> passed = play(new Random(seed), entries, demand, true);
        for (int start = 0; start + WINDOW_SECONDS <= SECONDS; start++) {
            long used = passed.subList(start, start + WINDOW_SECONDS).stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertThat((double) used).isLessThanOrEqualTo((RATE * WINDOW_SECONDS + CAPACITY) * (1 + TOLERATED));
        }
    }

    /** Guards against refusals below the cap: what the tenant may use must be usable through any entries. */
    @Property(tries = 40)
    void demandAboveTheCapUsesItUp(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int entries) {
        List<Long> passed = play(new Random(seed), entries, 2.5, true);
        long used = passed.stream().mapToLong(Long::longValue).sum();

        assertThat((double) used).isGreaterThan(0.9 * RATE * SECONDS);
    }

    /** Guards against entries that are cut off from each other and use the whole cap each. */
    @Property(tries = 20)
    void entriesThatHearNobodyUseLessThanTheCapTogether(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int entries) {
        List<Long> passed = play(new Random(seed), entries, 4, false);
        long used = passed.stream().mapToLong(Long::longValue).sum();

        assertThat((double) used).isLessThan(0.8 * RATE * SECONDS);
    }

    /** Plays a demand spread unevenly over the entries and returns what passed in each second. */
    private static List<Long> play(Random random, int entries, double demand, boolean linked) {
        List<TenantCap> caps = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            caps.add(TenantCap.create(RATE, CAPACITY, entries, 0));
            caps.get(entry).entries(linked ? entries : 1, entries, 0);
        }
        List<Long> passed = new ArrayList<>();
        long inSecond = 0;
        for (long now = 0; now < SECONDS * 1_000; now += STEP_MILLIS) {
            double wanted = demand * RATE * STEP_MILLIS / 1_000;
            while (wanted > 0) {
                long usage = 200 + random.nextInt(8_000);
                wanted -= usage;
                int entry = (int) (entries * random.nextDouble() * random.nextDouble());
                inSecond += caps.get(entry).tryUse(usage, now) ? usage : 0;
            }
            if (linked && now % REPORT_MILLIS == 0) {
                report(caps, now);
            }
            if ((now + STEP_MILLIS) % 1_000 == 0) {
                passed.add(inSecond);
                inSecond = 0;
            }
        }
        return passed;
    }

    private static void report(List<TenantCap> caps, long now) {
        double[] totals = caps.stream().mapToDouble(TenantCap::usedTotal).toArray();
        double[] levels = caps.stream().mapToDouble(cap -> cap.level(now)).toArray();
        for (int to = 0; to < caps.size(); to++) {
            for (int from = 0; from < caps.size(); from++) {
                if (from != to) {
                    caps.get(to).onPeer("entry-" + from, 1, totals[from], levels[from], now);
                }
            }
        }
    }

    /** Guards against a peer's restart that is taken for usage given back, or for its whole usage once more. */
    @Example
    void restartOfPeerCountsOnlyItsNewUsage() {
        TenantCap cap = TenantCap.create(RATE, CAPACITY, 2, 0);
        cap.entries(2, 2, 0);
        cap.onPeer("peer", 1, 1_000_000, CAPACITY, 0);
        cap.onPeer("peer", 1, 1_010_000, 0, 0);
        double before = cap.level(0);

        cap.onPeer("peer", 2, 5_000, 0, 0);

        assertThat(before).isEqualTo(CAPACITY - 10_000);
        assertThat(cap.level(0)).isEqualTo(before - 5_000);
    }

    /** Guards against a restarted entry that grants a new burst although its peers know the cap to be used up. */
    @Example
    void newEntryTakesOverWhatPeersBelieveToBeLeft() {
        TenantCap cap = TenantCap.create(RATE, CAPACITY, 2, 0);
        cap.entries(2, 2, 0);

        cap.onPeer("peer", 1, 500_000, -2_000, 0);

        assertThat(cap.tryUse(1, 0)).isFalse();
        assertThat(cap.millisUntilAvailable()).isBetween(40L, 42L);
    }

    /** Guards against a lowered cap that lets the old burst pass. */
    @Example
    void lowerCapBindsAtOnce() {
        TenantCap cap = TenantCap.create(RATE, CAPACITY, 1, 0);

        cap.change(1_000, 2_000, 0);

        assertThat(cap.level(0)).isLessThanOrEqualTo(2_000);
    }
}
