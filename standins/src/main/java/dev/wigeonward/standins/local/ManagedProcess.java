package dev.wigeonward.standins.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Child process that can be killed, frozen, resumed and restarted. */
public final class ManagedProcess implements AutoCloseable {
    private static final long START_LIMIT_MILLIS = 60_000;
    private static final long STOP_LIMIT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 20;

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;

    private ManagedProcess(String name, List<String> command, Path log) {
        this.name = name;
        this.command = command;
        this.log = log;
    }

    /** Starts a Java program from its jar and waits until it prints that it is ready. */
    static ManagedProcess start(String name, Path jar, List<String> arguments, Path directory) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-jar",
                jar.toString()));
        command.addAll(arguments);
        ManagedProcess managed = new ManagedProcess(name, command, directory.resolve(name + ".log"));
        managed.restart();
        return managed;
    }

    /** Starts the program again after it has ended, with empty memory, and waits until it is ready. */
    public void restart() throws IOException {
        Files.deleteIfExists(log);
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        long polls = START_LIMIT_MILLIS / POLL_MILLIS;
        while (polls > 0 && !Files.readString(log).contains("ready\n")) {
            if (!process.isAlive()) {
                throw new IOException(name + " exited with " + process.exitValue() + " before it was ready:\n"
                        + Files.readString(log));
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
            polls--;
        }
        if (polls == 0) {
            throw new IOException(name + " was not ready after " + START_LIMIT_MILLIS + " ms");
        }
    }

    /** Returns the name of the process in the deployment. */
    public String name() {
        return name;
    }

    /** Returns whether the process runs or is frozen. */
    public boolean alive() {
        return process.isAlive();
    }

    /** Returns the output of the process since its last start. */
    public String output() throws IOException {
        return Files.readString(log);
    }

    /** Kills the process without a shutdown, and waits for its end. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Requests a graceful shutdown without waiting for it. */
    public void terminate() {
        process.destroy();
    }

    /** Suspends the process; its connections stay open but nothing is answered. */
    public void freeze() throws IOException {
        signal("STOP");
    }

    /** Resumes a frozen process. */
    public void resume() throws IOException {
        signal("CONT");
    }

    private void signal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the end of the process; returns whether it ended within 20 s. */
    public boolean awaitExit() {
        try {
            return process.waitFor(STOP_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
