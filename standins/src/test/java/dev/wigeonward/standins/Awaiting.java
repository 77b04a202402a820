package dev.wigeonward.standins;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import static org.assertj.core.api.Assertions.assertThat;

/** Waits for conditions and results for at most 20 s. */
public final class Awaiting {
    private static final Duration BOUND = Duration.ofSeconds(20);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(2);

    private Awaiting() {}

    /** Returns the result of a future; fails when it takes longer than the bound. */
    public static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(BOUND.toMillis(), TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result within " + BOUND, e);
        }
    }

    /** Waits until a condition holds; fails when it takes longer than the bound. */
    public static void awaitUntil(String description, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waiting for " + description).isLessThan(endNanos);
            LockSupport.parkNanos(CHECK_INTERVAL.toNanos());
        }
    }
}
