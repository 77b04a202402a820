package dev.wigeonward.common.store;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Preconditions;

/**
 * Key-value store client for etcd v3 over its HTTP/JSON interface. Calls that exceed the budget fail at once as rate
 * limited. The metrics {@code store.calls.<type>} count the calls that were sent, and
 * {@code store.calls.<type>.<result>} those that were not answered with success.
 */
public final class EtcdStore implements KeyValueStore {
    private static final int CODE_RESOURCE_EXHAUSTED = 8;
    private static final int CODE_UNAVAILABLE = 14;

    /** gRPC codes with which etcd refuses a request before it changes anything, for example invalid or not found. */
    private static final List<Integer> CODES_NOT_APPLIED = List.of(3, 5, 6, 7, 9, 11, 12, 16);

    /**
     * Message of the only answer with code unavailable that proves that etcd did not propose the request to its
     * members.
     */
    private static final String NO_LEADER = "no leader";

    private final EtcdHttp http;
    private final ScheduledExecutorService thread;
    private final RandomGenerator random;

    private EtcdStore(EtcdHttp http, ScheduledExecutorService thread, RandomGenerator random) {
        this.http = http;
        this.thread = thread;
        this.random = random;
    }

    /**
     * Returns a client, which connects with its first call.
     *
     * @param thread the store's thread, which completes all results; closing the client does not stop it
     */
    public static EtcdStore connect(
            StoreOptions options,
            Clock clock,
            ScheduledExecutorService thread,
            MetricRegistry metrics,
            RandomGenerator random) {
        return new EtcdStore(new EtcdHttp(options, clock, thread, metrics), thread, random);
    }

    @Override
    public CompletableFuture<ReadResult<Optional<KeyValue>>> get(String key) {
        JsonNode request = EtcdJson.object().put("key", EtcdJson.encode(key));
        return read(CallType.RANGE, request, body -> EtcdJson.keyValues(body).stream()
                .findFirst());
    }

    @Override
    public CompletableFuture<ReadResult<Page>> range(String prefix, String afterKey, int limit) {
        Preconditions.checkArgument(!prefix.isEmpty(), "prefix is empty, expected at least one character");
        Preconditions.checkArgument(limit > 0, "limit is %s, expected more than 0", limit);
        // The smallest key after a given key is that key followed by a zero byte.
        String firstKey = afterKey.isEmpty() ? prefix : afterKey + '\0';
        return rangeFrom(EtcdJson.encode(firstKey), EtcdJson.encodedPrefixEnd(prefix), limit, List.of());
    }

    /**
     * Reads a page that holds the given entries already. A page from whose last key the caller could not continue is
     * extended, because that key cannot be represented as text.
     */
    private CompletableFuture<ReadResult<Page>> rangeFrom(
            String encodedFirstKey, String encodedEnd, int limit, List<KeyValue> before) {
        JsonNode request = EtcdJson.object()
                .put("key", encodedFirstKey)
                .put("range_end", encodedEnd)
                .put("limit", Integer.toString(limit - before.size()));
        return read(CallType.RANGE, request, EtcdJson::range).thenCompose(result -> {
            if (!(result instanceof ReadResult.Success<EtcdRange> success)) {
                return CompletableFuture.completedFuture(failed(result));
            }
            EtcdRange range = success.content();
            List<KeyValue> entries = new ArrayList<>(before);
            entries.addAll(range.entries());
            if (range.hasMore() && !range.endsWithTextKey()) {
                return rangeFrom(range.encodedNextKey(), encodedEnd, limit, entries);
            }
            Page page = new Page(entries, range.hasMore());
            return CompletableFuture.completedFuture(new ReadResult.Success<>(page, success.revision()));
        });
    }

    private static ReadResult<Page> failed(ReadResult<?> result) {
        return result instanceof ReadResult.RateLimited<?> limited
                ? new ReadResult.RateLimited<>(limited.reason())
                : new ReadResult.Unavailable<>(((ReadResult.Unavailable<?>) result).reason());
    }

    private <T> CompletableFuture<ReadResult<T>> read(CallType type, JsonNode request, Function<JsonNode, T> content) {
        return http.call(type, request)
                .thenApply(result -> readResult(result, content))
                .exceptionally(malformed -> new ReadResult.Unavailable<>(malformed.toString()));
    }

    private static <T> ReadResult<T> readResult(CallResult result, Function<JsonNode, T> content) {
        if (result instanceof CallResult.Answered answered) {
            JsonNode body = answered.body();
            return new ReadResult.Success<>(content.apply(body), EtcdJson.revision(body));
        }
        if (result instanceof CallResult.OverBudget over) {
            return new ReadResult.RateLimited<>("call budget of this process: " + over.reason());
        }
        if (result instanceof CallResult.Refused refused && refused.code() == CODE_RESOURCE_EXHAUSTED) {
            return new ReadResult.RateLimited<>(refused.message());
        }
        return new ReadResult.Unavailable<>(result.toString());
    }

    @Override
    public CompletableFuture<WriteResult> commit(Transaction transaction) {
        return write(CallType.TXN, EtcdJson.transaction(transaction));
    }

    private CompletableFuture<WriteResult> write(CallType type, JsonNode request) {
        return http.call(type, request)
                .thenApply(EtcdStore::writeResult)
                .exceptionally(malformed -> new WriteResult.OutcomeUnknown(malformed.toString()));
    }

    private static WriteResult writeResult(CallResult result) {
        if (result instanceof CallResult.Answered answered) {
            JsonNode body = answered.body();
            boolean compareFailed =
                    body.has("responses") && !body.path("succeeded").asBoolean();
            return compareFailed
                    ? new WriteResult.CompareFailed(EtcdJson.failureReads(body), EtcdJson.revision(body))
                    : new WriteResult.Applied(EtcdJson.revision(body));
        }
        if (result instanceof CallResult.OverBudget over) {
            return new WriteResult.RateLimited("call budget of this process: " + over.reason());
        }
        if (result instanceof CallResult.NotSent notSent) {
            return new WriteResult.Unavailable(notSent.reason());
        }
        return result instanceof CallResult.Refused refused
                ? refusedWrite(refused)
                : new WriteResult.OutcomeUnknown(((CallResult.Unanswered) result).reason());
    }

    private static WriteResult refusedWrite(CallResult.Refused refused) {
        if (refused.code() == CODE_RESOURCE_EXHAUSTED) {
            return new WriteResult.RateLimited(refused.message());
        }
        if (refused.code() == CODE_UNAVAILABLE && refused.message().contains(NO_LEADER)) {
            return new WriteResult.Unavailable(refused.message());
        }
        return CODES_NOT_APPLIED.contains(refused.code())
                ? new WriteResult.NotApplied(refused.message())
                : new WriteResult.OutcomeUnknown(refused.message());
    }

    @Override
    public CompletableFuture<WriteResult> grantLease(long leaseId, long ttlSeconds) {
        Preconditions.checkArgument(leaseId > 0, "leaseId is %s, expected more than 0", leaseId);
        Preconditions.checkArgument(ttlSeconds > 0, "ttlSeconds is %s, expected more than 0", ttlSeconds);
        JsonNode request = leaseRequest(leaseId).put("TTL", Long.toString(ttlSeconds));
        return write(CallType.LEASE_GRANT, request);
    }

    private static ObjectNode leaseRequest(long leaseId) {
        return EtcdJson.object().put("ID", Long.toString(leaseId));
    }

    @Override
    public CompletableFuture<ReadResult<Long>> keepLeaseAlive(long leaseId) {
        return read(CallType.LEASE_KEEP_ALIVE, leaseRequest(leaseId), body -> body.path("result")
                .path("TTL")
                .asLong());
    }

    @Override
    public CompletableFuture<WriteResult> revokeLease(long leaseId) {
        return write(CallType.LEASE_REVOKE, leaseRequest(leaseId));
    }

    @Override
    public AutoCloseable watch(String prefix, long fromRevision, WatchListener listener) {
        Preconditions.checkArgument(!prefix.isEmpty(), "prefix is empty, expected at least one character");
        EtcdWatch watch = new EtcdWatch(http, thread, new Backoff(random), prefix, fromRevision, listener);
        watch.start();
        return watch;
    }

    @Override
    public void close() {
        http.close();
    }
}
