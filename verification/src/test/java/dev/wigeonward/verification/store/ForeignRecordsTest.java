package dev.wigeonward.verification.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.Page;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.Write;
import dev.wigeonward.core.rollout.RolloutPhase;
import dev.wigeonward.core.rollout.RolloutRecord;
import dev.wigeonward.core.rollout.StoredRecord;
import dev.wigeonward.core.spend.SpendSnapshot;
import dev.wigeonward.entry.store.StoredRolloutRecords;
import dev.wigeonward.entry.store.StoredSpendTotals;
import dev.wigeonward.standins.kv.KvStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests records in the key-value service beside entries of other writers, over HTTP. */
class ForeignRecordsTest {
    private static final String ROLLOUTS = "/wigeonward/moves/";
    private static final String SPEND = "/wigeonward/spend/2026-12/";
    /** A byte that ends no character in UTF-8, and sorts behind the replacement character. */
    private static final byte[] NO_UTF_8 = {(byte) 0xff};

    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final KvStandin standin = KvStandin.start(new InetSocketAddress("127.0.0.1", 0), MonotonicClock.start());
    private final EtcdStore store = EtcdStore.connect(
            new StoreOptions(standin.address(), 2_000, 2_000, 64, 10_000, 10_000),
            MonotonicClock.start(),
            thread,
            new MetricRegistry(),
            new Random(1));
    private final StoredRolloutRecords rollouts = new StoredRolloutRecords(store);
    private final StoredSpendTotals spend = new StoredSpendTotals(store);

    @AfterEach
    void stop() {
        store.close();
        standin.close();
        thread.shutdownNow();
    }

    private static RolloutRecord rollout(String model) {
        return new RolloutRecord(
                model, "v1", "v2", 1, 100, RolloutPhase.PLANNED, 0, 1, 1, "w", 0, List.of(), Map.of(), "asked by ana");
    }

    private void put(String key, String value) throws Exception {
        store.commit(new Transaction(List.of(), List.of(new Write.Put(key, value, 0))))
                .get(5, TimeUnit.SECONDS);
    }

    /** Writes a key that consists of a text and the byte that is not valid in UTF-8. */
    private void putUndecodableKey(String text) throws IOException, InterruptedException {
        ByteArrayOutputStream key = new ByteArrayOutputStream();
        key.writeBytes(text.getBytes(StandardCharsets.UTF_8));
        key.writeBytes(NO_UTF_8);
        String body = "{\"success\":[{\"request_put\":{\"key\":\"%s\",\"value\":\"eA==\"}}]}"
                .formatted(Base64.getEncoder().encodeToString(key.toByteArray()));
        URI uri = URI.create("http://127.0.0.1:" + standin.address().getPort() + "/v3/kv/txn");
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(uri)
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(200);
    }

    private void writeRollout(String model) throws Exception {
        CompletableFuture<Long> written = new CompletableFuture<>();
        rollouts.write(rollout(model), 0, (outcome, revision) -> written.complete(revision));
        assertThat(written.get(5, TimeUnit.SECONDS)).isPositive();
    }

    /** Writes a total and waits until the store holds it, because the write is not confirmed to its caller. */
    private void writeSpend(String entryId) throws Exception {
        spend.write(new SpendSnapshot("2026-12", entryId, Map.of()));
        for (int attempt = 0; attempt < 500; attempt++) {
            Optional<KeyValue> stored = store.get(SPEND + entryId)
                    .get(5, TimeUnit.SECONDS)
                    .toOptional()
                    .orElseThrow();
            if (stored.isPresent()) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        throw new AssertionError("the store does not hold the total of " + entryId);
    }

    private List<String> readModels() throws Exception {
        CompletableFuture<Optional<List<StoredRecord>>> read = new CompletableFuture<>();
        rollouts.readAll(read::complete);
        return read.get(5, TimeUnit.SECONDS).orElseThrow().stream()
                .map(stored -> stored.record().model())
                .toList();
    }

    private List<String> readSpenders() throws Exception {
        CompletableFuture<List<SpendSnapshot>> read = new CompletableFuture<>();
        spend.readAll("2026-12", read::complete);
        return read.get(5, TimeUnit.SECONDS).stream()
                .map(SpendSnapshot::entryId)
                .toList();
    }

    /**
     * Guards against a controller that never starts, and against spend that is not counted, because an entry of another
     * writer stands among the records.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "null", "7", "[]", "{}", "{", "{\"model\":\"m\"}", "{\"model\":null}", "\u0000"})
    void recordsBesideForeignOneAreRead(String foreign) throws Exception {
        put(ROLLOUTS + "a&+# %", foreign);
        put(SPEND + "a&+# %", foreign);
        writeRollout("m");
        writeSpend("e");

        assertThat(readModels()).containsExactly("m");
        assertThat(readSpenders()).containsExactly("e");
    }

    /** Guards against a copy of a record that counts as a second one, and against spend that counts twice. */
    @Test
    void copyUnderAnotherKeyIsNoRecord() throws Exception {
        writeRollout("m");
        writeSpend("e");
        for (String prefix : List.of(ROLLOUTS + "m", SPEND + "e")) {
            KeyValue original = store.get(prefix)
                    .get(5, TimeUnit.SECONDS)
                    .toOptional()
                    .orElseThrow()
                    .orElseThrow();
            put(prefix + " copy", original.value());
        }

        assertThat(readModels()).containsExactly("m");
        assertThat(readSpenders()).containsExactly("e");
    }

    /** Guards against records that are not read because more entries of another writer than a page sort before them. */
    @Test
    void recordsBehindPageOfForeignOnesAreRead() throws Exception {
        for (int number = 0; number < 505; number++) {
            put(ROLLOUTS + "a" + number, "x");
        }
        writeRollout("m");

        assertThat(readModels()).containsExactly("m");
    }

    /** Guards against a list that never ends because the key at the end of a page is not valid in UTF-8. */
    @Test
    void pagesEndBesideKeysThatAreNotText() throws Exception {
        put("/p/a", "1");
        putUndecodableKey("/p/a");
        putUndecodableKey("/p/b");
        put("/p/c", "2");
        putUndecodableKey("/p/d");

        for (int limit = 1; limit <= 6; limit++) {
            String after = "";
            StringBuilder values = new StringBuilder();
            for (boolean more = true; more; ) {
                Page page = store.range("/p/", after, limit)
                        .get(5, TimeUnit.SECONDS)
                        .toOptional()
                        .orElseThrow();
                assertThat(page.entries()).hasSizeLessThanOrEqualTo(limit);
                page.entries().forEach(entry -> values.append(entry.value()));
                assertThat(values.length()).isLessThanOrEqualTo(2);
                more = page.hasMore();
                after = more ? page.entries().get(page.entries().size() - 1).key() : after;
            }
            assertThat(values).as("pages of at most %s entries", limit).hasToString("12");
        }
    }
}
