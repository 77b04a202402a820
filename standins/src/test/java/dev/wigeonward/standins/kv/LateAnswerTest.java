package dev.wigeonward.standins.kv;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.store.Condition;
import dev.wigeonward.common.store.EtcdStore;
import dev.wigeonward.common.store.KeyValue;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.Write;
import dev.wigeonward.common.store.WriteResult;
import dev.wigeonward.standins.Awaiting;
import dev.wigeonward.standins.http.RepeatingServer;
import dev.wigeonward.standins.http.RepeatingServer.Moment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static dev.wigeonward.standins.http.RepeatingServer.answer;
import static org.assertj.core.api.Assertions.assertThat;

/** Tests calls to a key-value service that writes the answer to an earlier call once more. */
class LateAnswerTest {
    private static final Transaction CREATE = Transaction.of(Condition.absent("/a"), new Write.Put("/a", "1", 0));

    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final Queue<String> answers = new ConcurrentLinkedQueue<>();
    private RepeatingServer server;
    private EtcdStore store;

    @AfterEach
    void close() throws IOException {
        store.close();
        server.close();
        thread.shutdownNow();
    }

    private void startStore(Moment moment, String... answersInOrder) throws IOException {
        answers.addAll(List.of(answersInOrder));
        server = RepeatingServer.start(moment, request -> answers.remove());
        store = EtcdStore.connect(
                StoreOptions.defaults(server.address()),
                MonotonicClock.start(),
                thread,
                new MetricRegistry(),
                new Random(1));
    }

    private static <T> T await(CompletableFuture<T> call) {
        T result = Awaiting.await(call);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(3 * RepeatingServer.LATE_MILLIS));
        return result;
    }

    /** Guards against a write that counts as done although its condition did not hold. */
    @ParameterizedTest
    @EnumSource
    void refusedWriteDoesNotCountAsApplied(Moment moment) throws IOException {
        startStore(
                moment,
                answer(200, "{\"header\":{\"revision\":\"5\"},\"succeeded\":true,\"responses\":[]}"),
                answer(200, "{\"header\":{\"revision\":\"6\"},\"responses\":[]}"));

        assertThat(await(store.commit(CREATE))).isEqualTo(new WriteResult.Applied(5));
        assertThat(await(store.commit(CREATE))).isInstanceOf(WriteResult.CompareFailed.class);
    }

    /** Guards against the value of another key, and against a lease that has ended and counts as alive. */
    @ParameterizedTest
    @EnumSource
    void readIsNotAnsweredByAnEarlierCall(Moment moment) throws IOException {
        startStore(
                moment,
                answer(200, "{\"result\":{\"ID\":\"7\",\"TTL\":\"3\"}}"),
                answer(200, "{\"result\":{\"ID\":\"7\"}}"),
                answer(
                        200,
                        """
                        {"header":{"revision":"6"},"count":"1","kvs":[{"key":"L2E=","value":"MQ==",
                        "create_revision":"5","mod_revision":"5","version":"1"}]}"""));

        assertThat(await(store.keepLeaseAlive(7)).toOptional()).contains(3L);
        assertThat(await(store.keepLeaseAlive(7)).toOptional()).contains(0L);
        assertThat(await(store.get("/a")).toOptional().orElseThrow())
                .map(KeyValue::value)
                .contains("1");
    }
}
