package dev.wigeonward.gateway.event;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLogTest {
    /**
     * Guards against an event loop that blocks when the queue of the log is full because nothing reads it, and against
     * lines that are dropped without being counted.
     */
    @Test
    void linesBeyondTheBoundAreCountedWithoutBlocking() {
        EventLog log = EventLog.withBound(4);
        for (int line = 0; line < 10; line++) {
            log.info("event", "line=" + line);
        }

        assertThat(log.droppedLines()).isEqualTo(6);
    }

    /** Guards against a process that hangs in stop because the writer thread of its log was never started. */
    @Test
    void logThatWasNotStartedStops() {
        EventLog log = EventLog.create();
        log.warning("event", "");
        log.stop();

        assertThat(log.droppedLines()).isZero();
    }
}
