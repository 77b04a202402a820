package dev.wigeonward.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Finds the ends of events in the bytes of a streamed answer and remembers the last event's identifier. An event ends
 * with an empty line; lines end with LF or CRLF. Not thread-safe.
 */
public final class EventBoundaries {
    /** Longest line start that is kept; an identifier beyond it is not remembered. */
    private static final int MAX_LINE_PREFIX_BYTES = 256;

    private static final String ID_FIELD = "id:";

    private final StringBuilder line = new StringBuilder();
    private Optional<String> openId = Optional.empty();
    private Optional<String> lastId = Optional.empty();
    private boolean openEvent;
    private long events;

    private EventBoundaries() {}

    /** Returns a scanner at the start of a stream. */
    public static EventBoundaries create() {
        return new EventBoundaries();
    }

    /** Returns how many of the bytes complete the events that end in them; the rest belongs to an open event. */
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
        openEvent = true;
        if (line.length() < MAX_LINE_PREFIX_BYTES) {
            line.append((char) (value & 0xff));
        }
    }

    private boolean endLine() {
        String text = line.toString();
        line.setLength(0);
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (!text.isEmpty()) {
            if (text.startsWith(ID_FIELD)) {
                openId = Optional.of(new String(
                        text.substring(ID_FIELD.length()).strip().getBytes(StandardCharsets.ISO_8859_1),
                        StandardCharsets.UTF_8));
            }
            return false;
        }
        openEvent = false;
        if (openId.isPresent()) {
            lastId = openId;
            openId = Optional.empty();
        }
        events++;
        return true;
    }

    /** Forgets an event that is open, because its rest will not come. */
    public void dropOpenEvent() {
        line.setLength(0);
        openId = Optional.empty();
        openEvent = false;
    }

    /** Returns whether bytes of an event have come whose end has not. */
    public boolean insideEvent() {
        return openEvent;
    }

    /** Returns the identifier of the last complete event, or empty before the first one. */
    public Optional<String> lastId() {
        return lastId;
    }

    /** Returns how many events are complete. */
    public long events() {
        return events;
    }
}
