package dev.wigeonward.standins.kv;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Translates JSON requests of the key-value service to operations on the state, and their results to JSON. */
final class KvCalls {
    private final KvState state;

    KvCalls(KvState state) {
        this.state = state;
    }

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String key(JsonNode node) {
        return new String(Base64.getDecoder().decode(node.asText("")), StandardCharsets.ISO_8859_1);
    }

    static Optional<String> end(JsonNode request) {
        return request.path("range_end").asText("").isEmpty()
                ? Optional.empty()
                : Optional.of(key(request.path("range_end")));
    }

    ObjectNode withHeader() {
        ObjectNode body = object();
        body.putObject("header").put("revision", Long.toString(state.revision()));
        return body;
    }

    ObjectNode range(JsonNode request) {
        List<KvEntry> found = state.range(key(request.path("key")), end(request));
        int limit = request.path("limit").asInt();
        List<KvEntry> page = limit > 0 && limit < found.size() ? found.subList(0, limit) : found;
        ObjectNode body = withHeader();
        ArrayNode entries = body.putArray("kvs");
        page.forEach(entry -> entries.add(entry(entry)));
        body.put("more", page.size() < found.size());
        body.put("count", Integer.toString(found.size()));
        return body;
    }

    static ObjectNode entry(KvEntry entry) {
        ObjectNode node = object().put(
                        "key", Base64.getEncoder().encodeToString(entry.key().getBytes(StandardCharsets.ISO_8859_1)))
                .put("mod_revision", Long.toString(entry.modRevision()));
        if (entry.deleted()) {
            return node;
        }
        node.put("create_revision", Long.toString(entry.createRevision()))
                .put("version", Long.toString(entry.version()))
                .put("value", entry.value());
        return entry.leaseId() == 0 ? node : node.put("lease", Long.toString(entry.leaseId()));
    }

    ObjectNode transaction(JsonNode request) {
        List<KvState.Condition> conditions = new ArrayList<>();
        request.path("compare").forEach(compare -> conditions.add(condition(compare)));
        List<KvState.Mutation> mutations = new ArrayList<>();
        request.path("success").forEach(operation -> mutations.add(mutation(operation)));
        // Holds the lock so that the reads of a failed transaction see the revision at which its compares failed.
        synchronized (state) {
            boolean succeeded = state.commit(conditions, mutations);
            ObjectNode body = withHeader();
            ArrayNode responses = body.putArray("responses");
            if (succeeded) {
                body.put("succeeded", true);
                mutations.forEach(mutation -> responses
                        .addObject()
                        .putObject(mutation.value().isPresent() ? "response_put" : "response_delete_range"));
            } else {
                request.path("failure")
                        .forEach(operation ->
                                responses.addObject().set("response_range", range(operation.path("request_range"))));
            }
            return body;
        }
    }

    private static KvState.Condition condition(JsonNode compare) {
        String key = key(compare.path("key"));
        if (!"EQUAL".equals(compare.path("result").asText("EQUAL"))) {
            throw new KvException(
                    KvException.INVALID_ARGUMENT,
                    "result of the compare of key " + key + " is "
                            + compare.path("result").asText() + "; expected EQUAL");
        }
        return switch (compare.path("target").asText("VERSION")) {
            case "MOD" -> equal(key, KvEntry::modRevision, compare.path("mod_revision"));
            case "CREATE" -> equal(key, KvEntry::createRevision, compare.path("create_revision"));
            case "VERSION" -> equal(key, KvEntry::version, compare.path("version"));
            case "VALUE" ->
                state -> state.get(key)
                        .filter(entry ->
                                entry.value().equals(compare.path("value").asText()))
                        .isPresent();
            default ->
                throw new KvException(
                        KvException.INVALID_ARGUMENT,
                        "target of the compare of key " + key + " is "
                                + compare.path("target").asText() + "; expected MOD, CREATE, VERSION or VALUE");
        };
    }

    private static KvState.Condition equal(String key, Function<KvEntry, Long> field, JsonNode expected) {
        return state -> state.get(key).map(field).orElse(0L) == expected.asLong();
    }

    private static KvState.Mutation mutation(JsonNode operation) {
        JsonNode put = operation.path("request_put");
        if (put.isObject()) {
            return new KvState.Mutation(
                    key(put.path("key")),
                    Optional.of(put.path("value").asText("")),
                    put.path("lease").asLong());
        }
        JsonNode delete = operation.path("request_delete_range");
        if (!delete.isObject() || delete.has("range_end")) {
            throw new KvException(
                    KvException.INVALID_ARGUMENT,
                    "unsupported operation; expected request_put, or request_delete_range of a single key");
        }
        return new KvState.Mutation(key(delete.path("key")), Optional.empty(), 0);
    }

    ObjectNode grantLease(JsonNode request) {
        long id = request.path("ID").asLong();
        long ttlSeconds = request.path("TTL").asLong();
        if (id <= 0 || ttlSeconds <= 0) {
            throw new KvException(
                    KvException.INVALID_ARGUMENT,
                    "ID is " + id + " and TTL is " + ttlSeconds + "; expected both to be positive");
        }
        state.grantLease(id, ttlSeconds);
        return withHeader().put("ID", Long.toString(id)).put("TTL", Long.toString(ttlSeconds));
    }

    ObjectNode keepLeaseAlive(JsonNode request) {
        long id = request.path("ID").asLong();
        long ttlSeconds = state.keepLeaseAlive(id);
        ObjectNode result = withHeader().put("ID", Long.toString(id));
        if (ttlSeconds > 0) {
            result.put("TTL", Long.toString(ttlSeconds));
        }
        return object().set("result", result);
    }

    ObjectNode revokeLease(JsonNode request) {
        state.revokeLease(request.path("ID").asLong());
        return withHeader();
    }
}
