package dev.wigeonward.entry.command;

import java.time.Clock;
import java.util.UUID;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * What the commands take from their surroundings besides the store.
 *
 * @param applyIds random ids by which a command recognizes its own write
 * @param pause waits for a number of milliseconds
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
