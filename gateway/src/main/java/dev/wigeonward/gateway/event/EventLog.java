package dev.wigeonward.gateway.event;

import java.lang.System.Logger.Level;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;

/**
 * Asynchronous log for the event loop: a separate thread formats and writes the lines. The event loop never blocks on
 * it. Lines beyond the bound of the queue are dropped, and their number is logged. Lines added before {@link #start}
 * are queued, so that the logging library is loaded only after the process serves requests.
 */
public final class EventLog {
    /** Bound of the queue: a few seconds of log lines of a busy entry, a few hundred kilobytes. */
    private static final int MAX_QUEUED_LINES = 2_048;
    /** Bound of the details of a line, which may repeat what other writers have put into the store. */
    private static final int MAX_DETAILS_CHARS = 2_000;
    /** Longest wait in {@link #stop} for room in the queue, and again for the writer to end. */
    private static final long STOP_WAIT_MILLIS = 300;

    private static final Line END = new Line(Level.INFO, "end", "");

    private final ArrayBlockingQueue<Line> lines;
    private final AtomicLong droppedSinceReport = new AtomicLong();
    private final AtomicLong droppedTotal = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong writtenChars = new AtomicLong();
    private final Thread writer = new Thread(this::write, "log");

    private EventLog(int maxQueuedLines) {
        lines = new ArrayBlockingQueue<>(maxQueuedLines);
    }

    /** Returns a log whose writer thread is not started. */
    public static EventLog create() {
        return new EventLog(MAX_QUEUED_LINES);
    }

    /** Returns a log with the given bound of its queue. */
    static EventLog withBound(int maxQueuedLines) {
        return new EventLog(maxQueuedLines);
    }

    /** Starts the writer thread. */
    public void start() {
        writer.setDaemon(true);
        writer.start();
    }

    /** Logs a notable event; {@code details} holds key=value pairs. */
    public void info(String event, String details) {
        offer(Level.INFO, event, details);
    }

    /** Logs a problem that does not stop the process; {@code details} holds key=value pairs. */
    public void warning(String event, String details) {
        offer(Level.WARNING, event, details);
    }

    private void offer(Level level, String event, String details) {
        if (!lines.offer(new Line(level, event, Ascii.truncate(details, MAX_DETAILS_CHARS, "...")))) {
            droppedSinceReport.incrementAndGet();
            droppedTotal.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped since the last log line that reports dropped lines. */
    public long droppedLines() {
        return droppedSinceReport.get();
    }

    /**
     * Registers gauges for the lines and message characters written, the lines dropped since the start and the lines
     * queued.
     */
    public void register(MetricRegistry metrics) {
        metrics.gauge("log.lines_written", () -> written::get);
        metrics.gauge("log.chars_written", () -> writtenChars::get);
        metrics.gauge("log.lines_left_out", () -> droppedTotal::get);
        metrics.gauge("log.lines_waiting", () -> lines::size);
    }

    private void write() {
        System.Logger logger = System.getLogger("wigeonward");
        try {
            for (Line line = lines.take(); line != END; line = lines.take()) {
                String text = line.event() + " " + line.details();
                logger.log(line.level(), text);
                written.incrementAndGet();
                writtenChars.addAndGet(text.length());
                long dropped = droppedSinceReport.getAndSet(0);
                if (dropped > 0) {
                    logger.log(Level.WARNING, "lines_left_out count=" + dropped);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued lines, waiting at most a fraction of a second, and ends the writer thread. */
    public void stop() {
        try {
            if (writer.isAlive() && lines.offer(END, STOP_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                writer.join(STOP_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Line(Level level, String event, String details) {}
}
