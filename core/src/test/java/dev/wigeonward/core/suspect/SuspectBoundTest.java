package dev.wigeonward.core.suspect;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests of the bound on upstreams crashed by a request and its resends, for entries that merge late and unordered. */
class SuspectBoundTest {
    private static final long FINGERPRINT = 5;
    private static final int RESENDS = 12;

    private interface Table {
        boolean mayDispatch(long nowMillis);

        void merge(SuspectFact fact, long nowMillis);
    }

    private static final class TableUnderTest implements Table {
        private final SuspectTable table = SuspectTable.create();

        @Override
        public boolean mayDispatch(long nowMillis) {
            return table.mayDispatch(FINGERPRINT, nowMillis);
        }

        @Override
        public void merge(SuspectFact fact, long nowMillis) {
            table.merge(fact, nowMillis);
        }
    }

    /** A faulty table, in which the set of a peer replaces the stored one instead of being merged into it. */
    private static final class ReplacingTable implements Table {
        private SuspectTable table = SuspectTable.create();

        @Override
        public boolean mayDispatch(long nowMillis) {
            return table.mayDispatch(FINGERPRINT, nowMillis);
        }

        @Override
        public void merge(SuspectFact fact, long nowMillis) {
            table = SuspectTable.create();
            table.merge(fact, nowMillis);
        }
    }

    /**
     * Guards against facts that are lost in merges: a request that crashes each upstream that runs it is resent through
     * random entries. The death caused by a run is known to every entry before the {@code lagRuns + 1}-th run after it,
     * and to some entries earlier.
     */
    private static void checkBound(Supplier<Table> factory, long seed, int entries, int lagRuns) {
        Random random = new Random(seed);
        List<Table> tables = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            tables.add(factory.get());
        }
        List<SuspectFact> facts = new ArrayList<>();
        for (int resend = 0; resend < RESENDS; resend++) {
            int due = facts.size() - lagRuns;
            for (Table table : tables) {
                List<SuspectFact> arriving = new ArrayList<>();
                for (int index = 0; index < facts.size(); index++) {
                    if (index < due || random.nextInt(4) == 0) {
                        arriving.add(facts.get(index));
                    }
                }
                Collections.shuffle(arriving, random);
                for (SuspectFact fact : arriving) {
                    table.merge(fact, resend);
                }
            }
            if (tables.get(random.nextInt(entries)).mayDispatch(resend)) {
                facts.add(new SuspectFact(FINGERPRINT, Set.of("upstream-" + resend)));
            }
        }
        assertThat(facts.size()).isLessThanOrEqualTo(2 + lagRuns);
    }

    @Property
    void atMostThreeUpstreamsDieWhenFactsAreOneRunLate(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int entries) {
        checkBound(TableUnderTest::new, seed, entries, 1);
    }

    @Property
    void eachFurtherRunOfDelayAddsOneDeath(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 8) int entries,
            @ForAll @IntRange(max = 5) int lagRuns) {
        checkBound(TableUnderTest::new, seed, entries, lagRuns);
    }

    @Test
    void checkFailsForTableThatReplacesInsteadOfMerging() {
        assertThatThrownBy(() -> {
                    for (long seed = 0; seed < 100; seed++) {
                        checkBound(ReplacingTable::new, seed, 4, 1);
                    }
                })
                .isInstanceOf(AssertionError.class);
    }
}
