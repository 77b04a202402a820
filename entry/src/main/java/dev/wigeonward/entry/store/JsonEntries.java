package dev.wigeonward.entry.store;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.KeyValueStore;

/** Reads entries of the key-value store with values in JSON. */
final class JsonEntries {
    private static final System.Logger LOG = System.getLogger(JsonEntries.class.getName());
    private static final int PAGE_ENTRIES = 500;

    private JsonEntries() {}

    /** Reads all entries under a prefix, page by page; the callback receives empty if the store did not answer. */
    static void readAll(KeyValueStore store, String prefix, Consumer<Optional<List<KeyValue>>> answer) {
        readFrom(store, prefix, "", new ArrayList<>(), answer);
    }

    private static void readFrom(
            KeyValueStore store,
            String prefix,
            String afterKey,
            List<KeyValue> before,
            Consumer<Optional<List<KeyValue>>> answer) {
        store.range(prefix, afterKey, PAGE_ENTRIES).thenAccept(result -> {
            if (result.toOptional().isEmpty()) {
                answer.accept(Optional.empty());
                return;
            }
            List<KeyValue> entries = result.toOptional().get().entries();
            before.addAll(entries);
            if (!result.toOptional().get().hasMore()) {
                answer.accept(Optional.of(before));
                return;
            }
            readFrom(store, prefix, entries.get(entries.size() - 1).key(), before, answer);
        });
    }

    /**
     * Returns the value of an entry, or empty if it is not a value of the type that belongs to the entry's key; other
     * writers may use the prefix.
     */
    static <T> Optional<T> parse(KeyValue entry, Class<T> type, Function<T, String> keyOf) {
        try {
            Optional<T> value = Optional.ofNullable(Json.mapper().readValue(entry.value(), type))
                    .filter(read -> keyOf.apply(read).equals(entry.key()));
            if (value.isEmpty()) {
                LOG.log(Level.ERROR, "value of key {0} is not the {1} of that key", entry.key(), type.getSimpleName());
            }
            return value;
        } catch (JsonProcessingException e) {
            LOG.log(
                    Level.ERROR,
                    "cannot parse the value of key " + entry.key() + ", expected " + type.getSimpleName() + " as JSON",
                    e);
            return Optional.empty();
        }
    }
}
