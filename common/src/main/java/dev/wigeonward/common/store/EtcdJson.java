package dev.wigeonward.common.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Preconditions;
import com.google.common.base.Utf8;
import com.google.common.primitives.Bytes;

/**
 * Encoder and decoder for messages of the HTTP/JSON interface of etcd, in which keys and values are base64 and 64-bit
 * numbers are strings.
 */
final class EtcdJson {
    private EtcdJson() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] bytes(JsonNode node) {
        return Base64.getDecoder().decode(node.asText(""));
    }

    private static String decode(JsonNode node) {
        return new String(bytes(node), StandardCharsets.UTF_8);
    }

    /** Returns whether the key of an entry is valid UTF-8; a key of another writer may be any bytes. */
    private static boolean hasTextKey(JsonNode node) {
        return Utf8.isWellFormed(bytes(node.path("key")));
    }

    /**
     * Returns the encoded exclusive end of the range of keys with a prefix: the prefix with its last byte incremented.
     */
    static String encodedPrefixEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        end[end.length - 1]++;
        return Base64.getEncoder().encodeToString(end);
    }

    static long revision(JsonNode body) {
        return body.path("header").path("revision").asLong();
    }

    static KeyValue keyValue(JsonNode node) {
        return new KeyValue(
                decode(node.path("key")),
                decode(node.path("value")),
                node.path("create_revision").asLong(),
                node.path("mod_revision").asLong(),
                node.path("lease").asLong());
    }

    /** Returns the entries whose keys are valid UTF-8. */
    static List<KeyValue> keyValues(JsonNode body) {
        List<KeyValue> entries = new ArrayList<>();
        body.path("kvs").forEach(node -> {
            if (hasTextKey(node)) {
                entries.add(keyValue(node));
            }
        });
        return entries;
    }

    /**
     * Returns the answer to a read of a range.
     *
     * @throws IllegalArgumentException if it announces further entries but has none, so that they cannot be read
     */
    static EtcdRange range(JsonNode body) {
        JsonNode all = body.path("kvs");
        boolean hasMore = body.path("more").asBoolean();
        if (all.isEmpty()) {
            Preconditions.checkArgument(!hasMore, "the service announced further entries but sent none");
            return new EtcdRange(List.of(), false, true, "");
        }
        JsonNode last = all.get(all.size() - 1);
        byte[] nextKey = Bytes.concat(bytes(last.path("key")), new byte[] {0});
        return new EtcdRange(
                keyValues(body), hasMore, hasTextKey(last), Base64.getEncoder().encodeToString(nextKey));
    }

    /** Returns the request for a transaction; if a condition does not hold, the transaction reads all compared keys. */
    static ObjectNode transaction(Transaction transaction) {
        ObjectNode request = object();
        ArrayNode compares = request.putArray("compare");
        transaction.conditions().forEach(condition -> compares.add(toCompare(condition)));
        ArrayNode writes = request.putArray("success");
        transaction.writes().forEach(write -> writes.add(write(write)));
        ArrayNode reads = request.putArray("failure");
        Set<String> keys = new LinkedHashSet<>();
        transaction.conditions().forEach(condition -> keys.add(condition.key()));
        keys.forEach(key -> reads.addObject().putObject("request_range").put("key", encode(key)));
        return request;
    }

    private static ObjectNode toCompare(Condition condition) {
        ObjectNode node = object().put("key", encode(condition.key())).put("result", "EQUAL");
        if (condition instanceof Condition.ModRevision mod) {
            return node.put("target", "MOD").put("mod_revision", Long.toString(mod.revision()));
        }
        if (condition instanceof Condition.CreateRevision create) {
            return node.put("target", "CREATE").put("create_revision", Long.toString(create.revision()));
        }
        return node.put("target", "VALUE").put("value", encode(((Condition.Value) condition).value()));
    }

    private static ObjectNode write(Write write) {
        ObjectNode node = object();
        if (write instanceof Write.Put put) {
            ObjectNode request =
                    node.putObject("request_put").put("key", encode(put.key())).put("value", encode(put.value()));
            if (put.leaseId() != 0) {
                request.put("lease", Long.toString(put.leaseId()));
            }
        } else {
            node.putObject("request_delete_range").put("key", encode(write.key()));
        }
        return node;
    }

    /** Returns the entries that a transaction read because a condition did not hold, by key. */
    static Map<String, KeyValue> failureReads(JsonNode body) {
        Map<String, KeyValue> current = new HashMap<>();
        for (JsonNode response : body.path("responses")) {
            keyValues(response.path("response_range")).forEach(entry -> current.put(entry.key(), entry));
        }
        return current;
    }

    static KeyChange change(JsonNode event) {
        return new KeyChange("DELETE".equals(event.path("type").asText()), keyValue(event.path("kv")));
    }
}
