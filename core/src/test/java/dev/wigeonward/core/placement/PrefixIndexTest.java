package dev.wigeonward.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiFunction;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PrefixIndexTest {
    private static final int MAX_PER_UPSTREAM = 4;
    private static final int MAX_TOTAL = 10;

    /**
     * Guards against an index that exceeds its bounds or evicts a recently used entry before an older one. Each step is
     * a number from which an upstream, a prefix and an operation are derived; the model lists pairs by last use.
     */
    private static void checkAgainstModel(List<Integer> steps, BiFunction<Integer, Integer, PrefixIndex> factory) {
        PrefixIndex index = factory.apply(MAX_PER_UPSTREAM, MAX_TOTAL);
        List<String> model = new ArrayList<>();
        for (int step : steps) {
            String upstream = "u" + step % 5;
            long prefix = step / 5 % 7;
            String pair = upstream + "/" + prefix;
            model.remove(pair);
            if (step % 4 == 0) {
                index.onReport(upstream, new LoadReport(0, 0, 0, List.of(), List.of(prefix)));
            } else if (step % 41 == 0) {
                index.removeUpstream(upstream);
                model.removeIf(each -> each.startsWith(upstream + "/"));
            } else {
                index.onPlaced(upstream, prefix);
                model.add(pair);
                List<String> own =
                        model.stream().filter(each -> each.startsWith(upstream)).toList();
                if (own.size() > MAX_PER_UPSTREAM) {
                    model.remove(own.get(0));
                }
                if (model.size() > MAX_TOTAL) {
                    model.remove(0);
                }
            }
            assertThat(index.size()).isEqualTo(model.size());
            for (int each = 0; each < 35; each++) {
                assertThat(index.holds("u" + each % 5, each / 5))
                        .isEqualTo(model.contains("u" + each % 5 + "/" + each / 5));
            }
            List<String> holders = new ArrayList<>(model.stream()
                    .filter(each -> each.endsWith("/" + prefix))
                    .map(each -> each.split("/")[0])
                    .toList());
            Collections.reverse(holders);
            assertThat(index.recentHolders(prefix, 10)).isEqualTo(holders);
        }
    }

    @Property(tries = 300)
    void matchesAnLruListOfPairs(@ForAll @Size(max = 120) List<@IntRange(max = 2_000) Integer> steps) {
        checkAgainstModel(steps, PrefixIndex::withBounds);
    }

    /** Guards against a check of the bounds that cannot fail. */
    @Test
    void checkFailsForLooserBounds() {
        List<Integer> steps = new Random(1).ints(500, 0, 2_000).boxed().toList();
        checkAgainstModel(steps, PrefixIndex::withBounds);
        assertThatThrownBy(() -> checkAgainstModel(
                        steps, (perUpstream, total) -> PrefixIndex.withBounds(perUpstream, total + 1)))
                .isInstanceOf(AssertionError.class);
        assertThatThrownBy(() -> checkAgainstModel(
                        steps, (perUpstream, total) -> PrefixIndex.withBounds(perUpstream + 1, total)))
                .isInstanceOf(AssertionError.class);
    }
}
