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

class WorkspaceUsageCapTest {
    private static final long RATE = 50_000;
    private static final long CAPACITY = 60_000;
    private static final int WINDOW_SECONDS = 8;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_MILLIS = 100;
    private static final long SECONDS = 20;
    /** Number of entries of a grown deployment, and the interval at which that many report what has changed. */
    private static final int MANY_ENTRIES = 31;

    private static final long REPORT_MILLIS_OF_MANY = 80;
    /** Fraction by which reports in transit and single large requests may exceed the cap; the users tolerate more. */
    private static final double TOLERANCE = 0.17;

    /** Guards against entries that together admit more usage in a window than the cap plus its tolerance. */
    @Property(tries = 40)
    void connectedEntriesStayWithinTheCap(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 6) int entries,
            @ForAll @DoubleRange(min = 1.2, max = 6) double load) {
        List<Long> admitted = simulate(new Random(seed), entries, load, REPORT_MILLIS);
        for (int start = 0; start + WINDOW_SECONDS <= SECONDS; start++) {
            long used = admitted.subList(start, start + WINDOW_SECONDS).stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertThat((double) used).isLessThanOrEqualTo((RATE * WINDOW_SECONDS + CAPACITY) * (1 + TOLERANCE));
        }
    }

    /**
     * Guards against an overrun that grows with the number of entries, because each admits requests until it hears of
     * those of the others. With reports each 400 ms the cap was exceeded by 30% and more.
     */
    @Property(tries = 10)
    void manyEntriesStayWithinTheCap(@ForAll long seed, @ForAll @DoubleRange(min = 1.2, max = 8) double load) {
        List<Long> admitted = simulate(new Random(seed), MANY_ENTRIES, load, REPORT_MILLIS_OF_MANY);
        for (int start = 0; start + WINDOW_SECONDS <= SECONDS; start++) {
            long used = admitted.subList(start, start + WINDOW_SECONDS).stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertThat((double) used).isLessThanOrEqualTo((RATE * WINDOW_SECONDS + CAPACITY) * (1 + TOLERANCE));
        }
    }

    /** Guards against refusals below the cap when the requests of the workspace arrive unevenly at the entries. */
    @Property(tries = 40)
    void loadAboveTheCapUsesItUp(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int entries) {
        List<Long> admitted = simulate(new Random(seed), entries, 2.5, REPORT_MILLIS);
        long used = admitted.stream().mapToLong(Long::longValue).sum();

        assertThat((double) used).isGreaterThan(0.9 * RATE * SECONDS);
    }

    /** Guards against entries that are partitioned from each other and each use the whole cap. */
    @Property(tries = 20)
    void isolatedEntriesTogetherUseLessThanTheCap(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int entries) {
        List<Long> admitted = simulate(new Random(seed), entries, 4, 0);
        long used = admitted.stream().mapToLong(Long::longValue).sum();

        assertThat((double) used).isLessThan(0.8 * RATE * SECONDS);
    }

    /**
     * Simulates requests distributed unevenly over the entries and returns the usage admitted in each second.
     *
     * @param load offered usage as a multiple of the cap's rate
     * @param reportMillis interval between reports, or 0 if the entries do not hear each other
     */
    private static List<Long> simulate(Random random, int entries, double load, long reportMillis) {
        boolean connected = reportMillis > 0;
        List<WorkspaceUsageCap> caps = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            caps.add(WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, entries, true), 0));
            caps.get(entry).setGroup(new EntryGroup(connected ? entries : 1, entries, true), 0);
        }
        List<Long> admitted = new ArrayList<>();
        long admittedInSecond = 0;
        for (long now = 0; now < SECONDS * 1_000; now += STEP_MILLIS) {
            double remaining = load * RATE * STEP_MILLIS / 1_000;
            while (remaining > 0) {
                long usage = 200 + random.nextInt(8_000);
                remaining -= usage;
                int entry = (int) (entries * random.nextDouble() * random.nextDouble());
                admittedInSecond += caps.get(entry).tryAcquire(usage, now) ? usage : 0;
            }
            if (connected && now % reportMillis == 0) {
                report(caps, now);
            }
            if ((now + STEP_MILLIS) % 1_000 == 0) {
                admitted.add(admittedInSecond);
                admittedInSecond = 0;
            }
        }
        return admitted;
    }

    private static void report(List<WorkspaceUsageCap> caps, long now) {
        double[] totals =
                caps.stream().mapToDouble(WorkspaceUsageCap::totalUsage).toArray();
        double[] levels = caps.stream().mapToDouble(cap -> cap.level(now)).toArray();
        for (int to = 0; to < caps.size(); to++) {
            for (int from = 0; from < caps.size(); from++) {
                if (from != to) {
                    caps.get(to).onPeerReport("entry-" + from, 1, totals[from], levels[from], now);
                }
            }
        }
    }

    /** Guards against counting the restart of a peer as a refund of its usage or as its whole earlier usage again. */
    @Example
    void restartOfPeerCountsOnlyItsNewUsage() {
        WorkspaceUsageCap cap = WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, 2, true), 0);
        cap.setGroup(new EntryGroup(2, 2, true), 0);
        cap.onPeerReport("peer", 1, 1_000_000, CAPACITY, 0);
        cap.onPeerReport("peer", 1, 1_010_000, 0, 0);
        double before = cap.level(0);

        cap.onPeerReport("peer", 2, 5_000, 0, 0);

        assertThat(before).isEqualTo(CAPACITY - 10_000);
        assertThat(cap.level(0)).isEqualTo(before - 5_000);
    }

    /** Guards against a restarted entry that admits a new burst although its peers report that the cap is exhausted. */
    @Example
    void newEntryAdoptsTheLevelOfItsPeer() {
        WorkspaceUsageCap cap = WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, 2, true), 0);
        cap.setGroup(new EntryGroup(2, 2, true), 0);

        cap.onPeerReport("peer", 1, 500_000, -2_000, 0);

        assertThat(cap.tryAcquire(1, 0)).isFalse();
        assertThat(cap.millisUntilAvailable()).isBetween(40L, 42L);
    }

    /** Guards against a lowered cap that still admits a burst of the old size. */
    @Example
    void lowerCapAppliesImmediately() {
        WorkspaceUsageCap cap = WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, 1, true), 0);

        cap.setLimits(1_000, 2_000, 0);

        assertThat(cap.level(0)).isLessThanOrEqualTo(2_000);
    }
}
