package dev.wigeonward.gateway.port;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Registry of running entries that all entries can read, also while they do not hear each other. All methods run on the
 * event loop.
 */
public interface EntryRegistry {
    /**
     * Registers the entry, or renews its registration.
     *
     * @param address link address of the entry
     * @param validMillis time for which the registration lasts without renewal
     * @param done receives for how many milliseconds from the call on the registration is valid, 0 if that is unknown
     */
    void register(String address, long validMillis, LongConsumer done);

    /**
     * Reads the addresses of all registered entries.
     *
     * @param ownAddress link address of this entry, which is registered again if it is missing
     * @param done receives nothing if there is no usable answer
     */
    void read(String ownAddress, Consumer<Optional<Set<String>>> done);
}
