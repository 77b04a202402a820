package dev.wigeonward.standins.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

import com.google.common.net.HostAndPort;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.http.Json;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.netty.HttpClients;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Open-loop load generator with a fixed request rate; latency is measured from the planned start of a request. */
public final class LoadGenerator implements AutoCloseable {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<HttpClient> clients;
    private final Map<String, String> headers;
    private final MonotonicClock clock = MonotonicClock.start();

    /** Creates a generator that sends requests to the addresses in turn. */
    public LoadGenerator(List<String> addresses, Map<String, String> headers) {
        this.clients = addresses.stream().map(LoadGenerator::connect).toList();
        this.headers = Map.copyOf(headers);
    }

    private static HttpClient connect(String address) {
        HostAndPort target = HostAndPort.fromString(address);
        return HttpClients.forSingleAddress(target.getHost(), target.getPort())
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .build();
    }

    /** Sends {@code count} chat requests at {@code perSecond} with random output lengths and returns the outcome. */
    public Outcome runChats(int count, double perSecond, int[] outputTokens, RandomGenerator random)
            throws InterruptedException {
        Histogram micros = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        AtomicInteger failures = new AtomicInteger();
        CountDownLatch unanswered = new CountDownLatch(count);
        long startNanos = clock.elapsedNanos();
        for (int number = 0; number < count; number++) {
            long dueNanos = startNanos + (long) (number / perSecond * NANOS_PER_SECOND);
            waitUntil(dueNanos);
            int tokens = outputTokens[random.nextInt(outputTokens.length)];
            HttpClient client = clients.get(number % clients.size());
            send(client, tokens, dueNanos, micros, failures, unanswered);
        }
        boolean complete = unanswered.await(MAX_LATENCY_MICROS, TimeUnit.MICROSECONDS);
        double seconds = (clock.elapsedNanos() - startNanos) / NANOS_PER_SECOND;
        return new Outcome(micros, failures.get(), complete, count / seconds);
    }

    private void waitUntil(long dueNanos) {
        long leftNanos = dueNanos - clock.elapsedNanos();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = dueNanos - clock.elapsedNanos();
        }
    }

    private void send(
            HttpClient client,
            int tokens,
            long dueNanos,
            Histogram micros,
            AtomicInteger failures,
            CountDownLatch unanswered) {
        HttpRequest request = client.post("/v1/chat/completions");
        headers.forEach(request::addHeader);
        request.payloadBody(client.executionContext().bufferAllocator().wrap(body(tokens)));
        client.request(request)
                .beforeFinally(unanswered::countDown)
                .subscribe(
                        response -> {
                            micros.recordValue((clock.elapsedNanos() - dueNanos) / 1_000);
                            if (response.status().code() != 200) {
                                failures.incrementAndGet();
                            }
                        },
                        error -> failures.incrementAndGet());
    }

    private static byte[] body(int tokens) {
        return Json.write(Map.of(
                "model",
                "advisory",
                "max_tokens",
                tokens,
                "messages",
                List.of(Map.of("role", "user", "content", "status of the pond"))));
    }

    @Override
    public void close() {
        clients.forEach(client -> client.closeAsync().subscribe());
    }

    /** Result of the requests: latencies in microseconds; failures are answers other than 200 and lost requests. */
    public record Outcome(Histogram micros, int failures, boolean complete, double achievedPerSecond) {}
}
