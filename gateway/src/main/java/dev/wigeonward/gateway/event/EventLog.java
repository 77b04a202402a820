package dev.wigeonward.gateway.event;

import java.lang.System.Logger.Level;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;

/**
 * Hands what the event loop has to say to a thread that formats and writes it. The event loop never waits: lines beyond
 * the bound are left out and counted in a line of their own. Lines said before {@link #start} wait for it, so that the
 * logging library is loaded after the process serves.
 */
public final class EventLog {
    /** Lines that wait for the writer: some seconds of a busy entry, some hundred kilobytes. */
    private static final int MAX_WAITING_LINES = 2_048;
    /** Longest wait for the writer at the end of the process. */
    private static final long STOP_MILLIS = 300;

    private static final Line END = new Line(Level.INFO, "end", "");

    private final ArrayBlockingQueue<Line> lines;
    private final AtomicLong leftOut = new AtomicLong();
    private final AtomicLong leftOutInAll = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong writtenChars = new AtomicLong();
    private final Thread writer = new Thread(this::write, "log");

    private EventLog(int maxWaitingLines) {
        lines = new ArrayBlockingQueue<>(maxWaitingLines);
    }

    /** Returns a log whose writer is not started. */
    public static EventLog create() {
        return new EventLog(MAX_WAITING_LINES);
    }

    /** Returns a log with another bound. */
    static EventLog withBound(int maxWaitingLines) {
        return new EventLog(maxWaitingLines);
    }

    /** Starts to write. */
    public void start() {
        writer.setDaemon(true);
        writer.start();
    }

    /** Says that something of note happened; {@code details} holds key=value pairs. */
    public void info(String event, String details) {
        offer(new Line(Level.INFO, event, details));
    }

    /** Says that something is wrong that the process can live with. */
    public void warning(String event, String details) {
        offer(new Line(Level.WARNING, event, details));
    }

    private void offer(Line line) {
        if (!lines.offer(line)) {
            leftOut.incrementAndGet();
            leftOutInAll.incrementAndGet();
        }
    }

    /** Returns how many lines were left out since the last line that says so. */
    public long leftOut() {
        return leftOut.get();
    }

    /** Adds what was written and left out since the start to the metrics; lengths are those of the messages. */
    public void register(MetricRegistry metrics) {
        metrics.gauge("log.lines_written", () -> written::get);
        metrics.gauge("log.chars_written", () -> writtenChars::get);
        metrics.gauge("log.lines_left_out", () -> leftOutInAll::get);
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
                long missing = leftOut.getAndSet(0);
                if (missing > 0) {
                    logger.log(Level.WARNING, "lines_left_out count=" + missing);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what waits, as far as that takes no longer than a fraction of a second. */
    public void stop() {
        try {
            if (writer.isAlive() && lines.offer(END, STOP_MILLIS, TimeUnit.MILLISECONDS)) {
                writer.join(STOP_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Line(Level level, String event, String details) {}
}
