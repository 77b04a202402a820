package dev.wigeonward.entry.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.spend.Spend;
import dev.wigeonward.core.spend.SpendSnapshot;
import dev.wigeonward.exchange.CurrentRules;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SpendTrackerTest {
    private static final long NOW_MILLIS = 1_000_000_000_000L;

    /** Store in which an earlier process of this entry and another entry have written totals. */
    private static final class StoreWithTotals implements SpendStore {
        @Override
        public void write(SpendSnapshot snapshot) {
            // The test does not look at what is written.
        }

        @Override
        public void readAll(String period, Consumer<List<SpendSnapshot>> answer) {
            answer.accept(List.of(
                    new SpendSnapshot(period, "entry-2", Map.of("rescue", new Spend(700, 70))),
                    new SpendSnapshot(period, "entry-1", Map.of("rescue", new Spend(20, 2))),
                    new SpendSnapshot(period, "entry-3", Map.of("rescue", new Spend(1_000, 100)))));
        }
    }

    /**
     * Guards against the totals of other entries that are taken for those of an earlier process of this one: the
     * exception ended the tick, so neither the totals were merged nor the tasks after it ran.
     */
    @Test
    void totalsOfAllEntriesAreMerged() throws IOException {
        CurrentRules rules = new CurrentRules();
        rules.adopt(new Revision(1, "h", Files.readString(Path.of("..", "examples", "kopsu.rules")), "ana", "test"));
        SpendTracker tracker = new SpendTracker(
                "entry-1", rules, new StoreWithTotals(), Clock.fixed(Instant.ofEpochMilli(NOW_MILLIS), ZoneOffset.UTC));
        tracker.onRules(rules.current().orElseThrow());

        tracker.onTick(NOW_MILLIS);
        tracker.onTick(NOW_MILLIS + 100);
        tracker.onTick(NOW_MILLIS + 60_000);
        tracker.onTick(NOW_MILLIS + 60_100);

        assertThat(tracker.report().get("rescue").toString()).contains("tokens=1720");
    }
}
