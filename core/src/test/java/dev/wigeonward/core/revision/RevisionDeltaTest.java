package dev.wigeonward.core.revision;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RevisionDeltaTest {
    /**
     * Guards against edits that do not produce the new text, for example for repeated or moved lines, and against a
     * delta that is applied to a base with another number or text or accepted with a wrong hash.
     */
    @Property(tries = 500)
    void rebuildsTheNewText(
            @ForAll @Size(max = 30) List<@IntRange(max = 20) Integer> before,
            @ForAll @Size(max = 30) List<@IntRange(max = 20) Integer> after) {
        Revision from = revision(4, before);
        Revision to = revision(6, after);
        RevisionDelta delta = RevisionDelta.between(from, to);
        assertThat(delta.apply(from)).map(Revision::text).contains(to.text());
        assertThat(delta.apply(revision(5, before))).isEmpty();
        assertThat(delta.apply(Revision.of(4, from.text() + "x", "ana", "test")))
                .isEmpty();
        RevisionDelta wrongHash = new RevisionDelta(4, from.hash(), 6, Revision.hashOf(to.text() + "x"), delta.edits());
        assertThat(wrongHash.apply(from)).isEmpty();
    }

    private static Revision revision(long number, List<Integer> lines) {
        return Revision.of(
                number, lines.stream().map(Object::toString).collect(Collectors.joining("\n")), "ana", "test");
    }

    /** Guards against deltas that include the unchanged lines between two distant changes. */
    @Test
    void containsOnlyChangedLines() {
        String text = IntStream.range(0, 1_000)
                .mapToObj(line -> "rule " + line + "\n")
                .collect(Collectors.joining());
        Revision from = Revision.of(1, text, "ana", "test");
        Revision to = Revision.of(2, text.replace("rule 10\n", "new\n").replace("rule 990\n", ""), "ana", "test");
        assertThat(RevisionDelta.between(from, to).edits())
                .containsExactly(
                        new RevisionDelta.Edit(10, 1, List.of("new")), new RevisionDelta.Edit(990, 1, List.of()));
    }
}
