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
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.Page;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.Write;
import dev.wigeonward.standins.kv.KvStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests records in the key-value service beside entries of other writers, over HTTP. */
class ForeignRecordsTest {
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

    @AfterEach
    void stop() {
        store.close();
        standin.close();
        thread.shutdownNow();
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
