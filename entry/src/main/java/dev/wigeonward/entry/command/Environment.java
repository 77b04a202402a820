package dev.wigeonward.entry.command;

import java.time.Clock;
import java.util.UUID;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * The dependencies of the commands: access to the store, clock, random ids and pauses.
 *
 * @param applyIds source of random ids by which a command recognizes its own write
 * @param pause sleeps for the given number of milliseconds
 */
record Environment(StoreConnector connector, Clock clock, Supplier<String> applyIds, LongConsumer pause) {
    static Environment real(StoreConnector connector) {
        return new Environment(
                connector, Clock.systemUTC(), () -> UUID.randomUUID().toString(), Environment::sleep);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
