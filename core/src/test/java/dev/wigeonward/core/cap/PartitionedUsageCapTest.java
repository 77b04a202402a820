package dev.wigeonward.core.cap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulations of usage caps whose entries are partitioned, restarted and connected again. */
class PartitionedUsageCapTest {
    private static final long RATE = 50_000;
    private static final long CAPACITY = 60_000;
    private static final int WINDOW_SECONDS = 8;
    /** Fraction by which reports in transit and single large requests may exceed the cap; the users tolerate more. */
    private static final double TOLERANCE = 0.17;

    /** Guards against groups of entries whose parts of a budget add up to more than the budget. */
    @Property(tries = 500)
    void partsOfAnyPartitionAddUpToTheBudgetAtMost(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 33) int entries) {
        Random random = new Random(seed);
        int[] groups = random.ints(entries, 0, 1 + random.nextInt(entries)).toArray();
        double sum = Arrays.stream(groups)
                .distinct()
                .mapToDouble(group -> {
                    int size = (int)
                            Arrays.stream(groups).filter(each -> each == group).count();
                    return new EntryGroup(size, entries, true).budgetFraction();
                })
                .sum();
        assertThat(sum).isLessThanOrEqualTo(1 + 1e-9);
    }

    /** Guards against a group that uses its part although its registration has ended, so that the others take it. */
    @Example
    void minorityWithoutRegistrationUsesNothing() {
        assertThat(new EntryGroup(2, 5, false).budgetFraction()).isZero();
        assertThat(new EntryGroup(3, 5, false).budgetFraction()).isEqualTo(0.8);
        WorkspaceUsageCap cap = WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, 2, false), 0);
        assertThat(cap.tryAcquire(1, 60_000)).isFalse();
        assertThat(cap.millisUntilAvailable()).isEqualTo(1_000);
    }

    /** Guards against two sides of a partition that each take the whole cap, during the partition or after it. */
    @Property(tries = 60)
    void partitionedEntriesStayWithinTheCap(@ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int entries) {
        Simulation simulation = new Simulation(new Random(seed), entries);
        simulation.groups = new Random(seed).ints(entries, 0, 3).toArray();
        simulation.play(8_000, 30_000, 45_000);
        simulation.assertWithinCap();
    }

    /** Guards against the same in the large deployments, where reports take longer. */
    @Property(tries = 6)
    void manyPartitionedEntriesStayWithinTheCap(@ForAll long seed, @ForAll @IntRange(min = 25, max = 33) int entries) {
        Simulation simulation = new Simulation(new Random(seed), entries);
        simulation.groups = new Random(seed).ints(entries, 0, 3).toArray();
        simulation.play(8_000, 22_000, 34_000);
        simulation.assertWithinCap();
    }

    /** Guards against entries that restart during a partition and begin with a new burst. */
    @Property(tries = 40)
    void entriesRestartedDuringAPartitionStayWithinTheCap(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int entries) {
        Simulation simulation = new Simulation(new Random(seed), entries);
        simulation.groups = new Random(seed).ints(entries, 0, 2).toArray();
        simulation.restartedAtMillis = 16_000;
        simulation.play(8_000, 30_000, 45_000);
        simulation.assertWithinCap();
    }

    /**
     * Guards against refusals after all entries have restarted: what they may use at first was divided by their number
     * and not put together when they heard each other.
     */
    @Example
    void entriesThatStartTogetherShareTheUsageOfOneSecond() {
        Simulation simulation = new Simulation(new Random(1), 5);
        simulation.groups = new int[5];
        simulation.play(0, 1_000, 3_000);
        double used = simulation.admitted.stream().mapToLong(Long::longValue).sum();

        assertThat(used).isBetween(3.5 * RATE, 4.5 * RATE);
    }

    /** Guards against a cap that stays partly unused after a partition has ended. */
    @Property(tries = 20)
    void capIsUsedUpAgainAfterAPartition(@ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int entries) {
        Simulation simulation = new Simulation(new Random(seed), entries);
        simulation.groups = new Random(seed).ints(entries, 0, 2).toArray();
        simulation.play(8_000, 20_000, 45_000);
        long used = simulation.admitted.subList(25, 45).stream()
                .mapToLong(Long::longValue)
                .sum();
        assertThat((double) used).isGreaterThan(0.9 * RATE * 20);
    }

    /** Entries that get several times the capped usage, unevenly, and report to those of their group. */
    private static final class Simulation {
        private static final long STEP_MILLIS = 20;
        private static final long SILENCE_MILLIS = 1_500;
        private static final double LOAD = 4;

        private final Random random;
        private final List<WorkspaceUsageCap> caps = new ArrayList<>();
        private final long[][] heardAtMillis;
        private final int[] incarnations;
        private final List<Long> admitted = new ArrayList<>();
        private int[] groups;
        private long restartedAtMillis = -1;

        Simulation(Random random, int entries) {
            this.random = random;
            this.heardAtMillis = new long[entries][entries];
            this.incarnations = new int[entries];
            for (int entry = 0; entry < entries; entry++) {
                caps.add(WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, entries, true), 0));
            }
        }

        void play(long cutFromMillis, long cutToMillis, long lengthMillis) {
            long reportMillis = caps.size() > 9 ? 80 : 100;
            long usedInSecond = 0;
            for (long now = 0; now < lengthMillis; now += STEP_MILLIS) {
                boolean cut = now >= cutFromMillis && now < cutToMillis;
                if (now == restartedAtMillis) {
                    restart(now);
                }
                if (now % reportMillis == 0) {
                    report(cut, now);
                }
                double offered = LOAD * RATE * STEP_MILLIS / 1_000;
                while (offered > 0) {
                    long usage = 200 + random.nextInt(4_000);
                    offered -= usage;
                    int entry = (int) (caps.size() * random.nextDouble() * random.nextDouble());
                    usedInSecond += caps.get(entry).tryAcquire(usage, now) ? usage : 0;
                }
                if ((now + STEP_MILLIS) % 1_000 == 0) {
                    admitted.add(usedInSecond);
                    usedInSecond = 0;
                }
            }
        }

        private void restart(long now) {
            int entries = caps.size();
            for (int entry = 0; entry < entries; entry += 2) {
                caps.set(entry, WorkspaceUsageCap.create(RATE, CAPACITY, new EntryGroup(1, entries, true), now));
                incarnations[entry]++;
                Arrays.fill(heardAtMillis[entry], now - SILENCE_MILLIS - 1);
            }
        }

        private void report(boolean cut, long now) {
            double[] totals =
                    caps.stream().mapToDouble(WorkspaceUsageCap::totalUsage).toArray();
            double[] levels =
                    caps.stream().mapToDouble(cap -> cap.reportedLevel(now)).toArray();
            for (int to = 0; to < caps.size(); to++) {
                int heard = 1;
                for (int from = 0; from < caps.size(); from++) {
                    if (from == to) {
                        continue;
                    }
                    boolean silent = now - heardAtMillis[to][from] > SILENCE_MILLIS;
                    if (silent) {
                        caps.get(to).removePeer("entry-" + from, now);
                    }
                    if (!cut || groups[from] == groups[to]) {
                        heardAtMillis[to][from] = now;
                        caps.get(to).onPeerReport("entry-" + from, incarnations[from], totals[from], levels[from], now);
                    }
                    heard += now - heardAtMillis[to][from] <= SILENCE_MILLIS ? 1 : 0;
                }
                caps.get(to).setGroup(new EntryGroup(heard, caps.size(), true), now);
            }
        }

        void assertWithinCap() {
            for (int start = 0; start + WINDOW_SECONDS <= admitted.size(); start++) {
                long used = admitted.subList(start, start + WINDOW_SECONDS).stream()
                        .mapToLong(Long::longValue)
                        .sum();
                assertThat((double) used)
                        .as("usage from second %d", start)
                        .isLessThanOrEqualTo((RATE * WINDOW_SECONDS + CAPACITY) * (1 + TOLERANCE));
            }
        }
    }
}
