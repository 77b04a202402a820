package dev.wigeonward.gateway.event;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLogTest {
    /** Guards against an event loop that waits for whoever reads the log, and against lines lost without a count. */
    @Test
    void linesBeyondTheBoundAreCountedAndNobodyWaits() {
        EventLog log = EventLog.withBound(4);
        for (int line = 0; line < 10; line++) {
            log.info("event", "line=" + line);
        }

        assertThat(log.leftOut()).isEqualTo(6);
    }

    /** Guards against a process that cannot end because its log was never started. */
    @Test
    void logThatWasNotStartedStops() {
        EventLog log = EventLog.create();
        log.warning("event", "");
        log.stop();

        assertThat(log.leftOut()).isZero();
    }
}
