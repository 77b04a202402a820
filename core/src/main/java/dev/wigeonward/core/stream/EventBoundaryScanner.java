package dev.wigeonward.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Scanner that finds the ends of events in a streamed answer and tracks the identifier of the last complete event. An
 * event ends with an empty line; lines end with LF or CRLF. Not thread-safe.
 */
public final class EventBoundaryScanner {
    /** Largest number of bytes stored from the start of a line; a longer identifier is cut off. */
    private static final int MAX_LINE_PREFIX_BYTES = 256;

    private static final String ID_FIELD = "id:";

    private final StringBuilder line = new StringBuilder();
    private Optional<String> incompleteEventId = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();
    private boolean eventIncomplete;
    private long eventCount;

    private EventBoundaryScanner() {}

    /** Returns a scanner at the start of a stream. */
    public static EventBoundaryScanner create() {
        return new EventBoundaryScanner();
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
        }
        return complete;
    }

    private void appendToLine(byte value) {
        eventIncomplete = true;
        if (line.length() < MAX_LINE_PREFIX_BYTES) {
            line.append((char) (value & 0xff));
        }
    }

    /** Processes a complete line and returns whether it ends an event. */
    private boolean endLine() {
        String text = line.toString();
        line.setLength(0);
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (!text.isEmpty()) {
            if (text.startsWith(ID_FIELD)) {
                incompleteEventId = Optional.of(new String(
                        text.substring(ID_FIELD.length()).strip().getBytes(StandardCharsets.ISO_8859_1),
                        StandardCharsets.UTF_8));
            }
            return false;
        }
        eventIncomplete = false;
        if (incompleteEventId.isPresent()) {
            lastEventId = incompleteEventId;
            incompleteEventId = Optional.empty();
        }
        eventCount++;
        return true;
    }

    /** Discards the state of an incomplete event whose remaining bytes will not arrive. */
    public void discardIncompleteEvent() {
        line.setLength(0);
        incompleteEventId = Optional.empty();
        eventIncomplete = false;
    }

    /** Returns whether part of an event has arrived, but not its end. */
    public boolean hasIncompleteEvent() {
        return eventIncomplete;
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
