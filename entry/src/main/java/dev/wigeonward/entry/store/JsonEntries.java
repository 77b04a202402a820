package dev.wigeonward.entry.store;

import java.lang.System.Logger.Level;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.common.store.KeyValue;

/** Parses entries of the key-value store with values in JSON. */
final class JsonEntries {
    private static final System.Logger LOG = System.getLogger(JsonEntries.class.getName());

    private JsonEntries() {}

    /** Returns the value of an entry, or empty if it is not a value of the type; other writers may use the prefix. */
    static <T> Optional<T> parse(KeyValue entry, Class<T> type) {
        try {
            Optional<T> value = Optional.ofNullable(Json.mapper().readValue(entry.value(), type));
            if (value.isEmpty()) {
                LOG.log(
                        Level.ERROR,
                        "value of key {0} is null, expected {1} as JSON",
                        entry.key(),
                        type.getSimpleName());
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
