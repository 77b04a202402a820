package dev.wigeonward.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.common.primitives.Longs;

/**
 * Scanner that finds the ends of events in a streamed answer and tracks the identifier of the last complete event. An
 * event ends with an empty line; lines end with LF or CRLF. Not thread-safe.
 */
public final class EventBoundaryScanner {
    /** Longest line with an identifier; a stream with a longer one cannot be resumed after that event. */
    private static final int MAX_ID_LINE_BYTES = 4_096;

    private static final String ID_FIELD = "id:";
    private static final char COMMENT = ':';

    private final StringBuilder line = new StringBuilder();
    private Optional<String> incompleteEventId = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();
    private boolean lineTooLong;
    private boolean hasField;
    private boolean lastEventUnidentified;
    private boolean continuationExpected;
    private boolean misplaced;
    private long eventCount;

    private EventBoundaryScanner() {}

    /** Returns a scanner at the start of a stream. */
    public static EventBoundaryScanner create() {
        return new EventBoundaryScanner();
    }

    /**
     * Announces that the next bytes are from another run, whose first event must follow the last complete one. If it
     * does not, {@link #isMisplaced} returns true and the event does not count.
     */
    public void expectContinuation() {
        continuationExpected = lastEventId.isPresent();
    }

    /** Returns whether an event does not continue the stream, so that it and all later ones are of no use. */
    public boolean isMisplaced() {
        return misplaced;
    }

    /**
     * Scans the next bytes and returns how many of them, from the first on, belong to events that are now complete. The
     * rest belongs to an incomplete event.
     */
    public int scan(byte[] bytes, int length) {
        int complete = 0;
        for (int index = 0; index < length; index++) {
            if (bytes[index] != '\n') {
                appendToLine(bytes[index]);
                continue;
            }
            if (endLine()) {
                complete = index + 1;
            }
            if (misplaced) {
                return complete;
            }
        }
        return complete;
    }

    private void appendToLine(byte value) {
        // Of other lines only the start is needed, to tell them from an empty line and from a comment.
        boolean mayHoldId = line.length() < ID_FIELD.length() || line.indexOf(ID_FIELD) == 0;
        if (mayHoldId && line.length() < MAX_ID_LINE_BYTES) {
            line.append((char) (value & 0xff));
        } else if (mayHoldId) {
            lineTooLong = true;
        }
    }

    /** Processes a complete line and returns whether it ends an event or a block of comments. */
    private boolean endLine() {
        String text = line.toString();
        boolean tooLong = lineTooLong;
        line.setLength(0);
        lineTooLong = false;
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (!text.isEmpty()) {
            hasField |= text.charAt(0) != COMMENT;
            if (text.startsWith(ID_FIELD)) {
                incompleteEventId = tooLong
                        ? Optional.empty()
                        : Optional.of(new String(
                                text.substring(ID_FIELD.length()).strip().getBytes(StandardCharsets.ISO_8859_1),
                                StandardCharsets.UTF_8));
            }
            return false;
        }
        if (hasField && !continuesStream()) {
            misplaced = true;
            return false;
        }
        eventCount++;
        if (hasField) {
            endEvent();
        }
        return true;
    }

    private boolean continuesStream() {
        if (!continuationExpected) {
            return true;
        }
        return incompleteEventId.isPresent() && follows(lastEventId.orElseThrow(), incompleteEventId.get());
    }

    /** Returns whether an identifier may follow another one; numbers increase, other identifiers differ. */
    private static boolean follows(String previous, String next) {
        Long previousNumber = Longs.tryParse(previous);
        Long nextNumber = Longs.tryParse(next);
        return previousNumber == null || nextNumber == null ? !next.equals(previous) : nextNumber > previousNumber;
    }

    private void endEvent() {
        continuationExpected = false;
        lastEventUnidentified = incompleteEventId.isEmpty();
        if (incompleteEventId.isPresent()) {
            lastEventId = incompleteEventId;
        }
        incompleteEventId = Optional.empty();
        hasField = false;
    }

    /** Discards the state of an incomplete event whose remaining bytes will not arrive. */
    public void discardIncompleteEvent() {
        line.setLength(0);
        lineTooLong = false;
        hasField = false;
        incompleteEventId = Optional.empty();
        misplaced = false;
        continuationExpected = false;
    }

    /**
     * Returns whether the stream can go on after its last complete event, because that event has an identifier or there
     * was none yet. Otherwise another run would repeat events.
     */
    public boolean canResume() {
        return !lastEventUnidentified;
    }

    /** Returns whether part of an event has arrived, but not its end. A comment is no event. */
    public boolean hasIncompleteEvent() {
        boolean partialField = line.length() > 0 && line.charAt(0) != COMMENT && line.charAt(0) != '\r';
        return hasField || partialField;
    }

    /** Returns the identifier of the last complete event that has one, or empty if there was none. */
    public Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Returns the number of complete events. */
    public long eventCount() {
        return eventCount;
    }
}
