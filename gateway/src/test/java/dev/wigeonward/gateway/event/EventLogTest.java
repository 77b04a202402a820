package dev.wigeonward.gateway.event;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

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

    /** Guards against a queue that holds megabytes because a line repeats what an entry of another writer holds. */
    @Test
    void longDetailsAreShortened() throws Exception {
        CompletableFuture<String> written = new CompletableFuture<>();
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                written.complete(event.getFormattedMessage());
            }
        };
        Logger logger = (Logger) LoggerFactory.getLogger("wigeonward");
        logger.addAppender(appender);
        appender.start();
        EventLog log = EventLog.create();
        log.start();
        log.warning("event", "id=i-1 reason=" + "x".repeat(1_000_000));

        assertThat(written.get(10, TimeUnit.SECONDS))
                .startsWith("event id=i-1 reason=xxx")
                .endsWith("...")
                .hasSizeLessThan(3_000);
        log.stop();
        logger.detachAppender(appender);
    }
}
