package dev.wigeonward.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class EventBoundaryScannerTest {
    private static final byte[] STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:comment\n\nid:3\ndata: c\n\n".getBytes(StandardCharsets.UTF_8);

    /** Guards against boundaries that depend on how the network splits the bytes. */
    @Property
    void boundariesDoNotDependOnSplits(@ForAll @IntRange(min = 1, max = 20) int size) {
        EventBoundaryScanner scanner = EventBoundaryScanner.create();
        int complete = 0;
        for (int from = 0; from < STREAM.length; from += size) {
            byte[] part = Arrays.copyOfRange(STREAM, from, Math.min(STREAM.length, from + size));
            int inPart = scanner.scan(part, part.length);
            complete = inPart > 0 ? from + inPart : complete;
        }

        assertThat(complete).isEqualTo(STREAM.length);
        assertThat(scanner.eventCount()).isEqualTo(4);
        assertThat(scanner.lastEventId()).contains("3");
        assertThat(scanner.hasIncompleteEvent()).isFalse();
    }

    /** Guards against a stream that is resumed after an event of which only the first part, with its id, arrived. */
    @Example
    void incompleteEventDoesNotCount() {
        EventBoundaryScanner scanner = EventBoundaryScanner.create();
        byte[] bytes = "id: 1\ndata: a\n\nid: 2\ndata: b".getBytes(StandardCharsets.UTF_8);

        assertThat(scanner.scan(bytes, bytes.length)).isEqualTo(15);
        assertThat(scanner.lastEventId()).contains("1");
        assertThat(scanner.hasIncompleteEvent()).isTrue();

        scanner.discardIncompleteEvent();
        byte[] rest = "id: 2\ndata: b\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(scanner.scan(rest, rest.length)).isEqualTo(rest.length);
        assertThat(scanner.lastEventId()).contains("2");
    }

    /** Guards against a stream that is resumed after an earlier event than the last one that was forwarded. */
    @Example
    void onlyAnIdentifiedEventCanBeResumedAfter() {
        String longId = "x".repeat(1_000);

        assertThat(scanned("").canResume()).isTrue();
        assertThat(scanned(":comment\n\n").canResume()).isTrue();
        assertThat(scanned("id: 1\ndata: a\n\n:comment\n\n").canResume()).isTrue();
        assertThat(scanned("id: 1\ndata: a\n\ndata: b\n\n").canResume()).isFalse();
        assertThat(scanned("data: a\n\n").canResume()).isFalse();
        assertThat(scanned("id: " + "x".repeat(10_000) + "\ndata: a\n\n").canResume())
                .isFalse();
        assertThat(scanned("id: " + longId + "\ndata: a\n\n").lastEventId()).contains(longId);
    }

    /** Guards against the first event of another run that repeats an event, or of which the place is not known. */
    @Example
    void continuationMustFollowTheLastEvent() {
        assertThat(continues("1", "id: 2\ndata: b\n\n")).isTrue();
        assertThat(continues("9", "id: 10\ndata: b\n\n")).isTrue();
        assertThat(continues("a", ":comment\n\nid: b\ndata: b\n\n")).isTrue();
        assertThat(continues("2", "id: 2\ndata: b\n\n")).isFalse();
        assertThat(continues("2", "id: 1\ndata: b\n\n")).isFalse();
        assertThat(continues("a", "id: a\ndata: b\n\n")).isFalse();
        assertThat(continues("1", "data: b\n\n")).isFalse();
    }

    private static boolean continues(String lastId, String text) {
        EventBoundaryScanner scanner = scanned("id: " + lastId + "\ndata: a\n\n");
        scanner.expectContinuation();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int complete = scanner.scan(bytes, bytes.length);
        assertThat(complete == bytes.length).isEqualTo(!scanner.isMisplaced());
        return !scanner.isMisplaced();
    }

    /** Guards against an event that has ended, or a comment, that counts as a broken one. */
    @Example
    void onlyAnUnfinishedEventIsIncomplete() {
        assertThat(scanned("data: a\n\n").hasIncompleteEvent()).isFalse();
        assertThat(scanned("data: a\n\n:comment\n").hasIncompleteEvent()).isFalse();
        assertThat(scanned("data: a\n\n:com").hasIncompleteEvent()).isFalse();
        assertThat(scanned("data: a\n").hasIncompleteEvent()).isTrue();
        assertThat(scanned("data: a\n\nd").hasIncompleteEvent()).isTrue();
    }

    private static EventBoundaryScanner scanned(String text) {
        EventBoundaryScanner scanner = EventBoundaryScanner.create();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        scanner.scan(bytes, bytes.length);
        return scanner;
    }
}
