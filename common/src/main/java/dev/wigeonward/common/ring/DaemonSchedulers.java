package dev.wigeonward.common.ring;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Factory of schedulers on daemon threads, which do not keep the JVM running. */
public final class DaemonSchedulers {
    private DaemonSchedulers() {}

    /** Returns a scheduler with a single daemon thread of the given name. */
    public static ScheduledExecutorService newSingleThreadScheduler(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }
}
