package dev.wigeonward.common.ring;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Makes threads that do not keep a process from ending. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** Returns a scheduler with one thread of the given name. */
    public static ScheduledExecutorService scheduler(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }
}
