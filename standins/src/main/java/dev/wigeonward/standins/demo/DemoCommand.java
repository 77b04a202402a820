package dev.wigeonward.standins.demo;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import com.google.common.base.Splitter;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.standins.http.HttpCallClient;
import io.servicetalk.http.api.HttpRequestMethod;
import org.kohsuke.args4j.Option;

/** Command that sends requests of each kind through two entries and checks each answer. */
public final class DemoCommand {
    private static final String CHAT = "/v1/chat/completions";
    private static final long READY_LIMIT_MILLIS = 30_000;
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;

    @Option(name = "--entries", required = true, usage = "callers' addresses of two entries, separated by a comma")
    private String entries;

    @Option(name = "--admins", required = true, usage = "admin addresses of the entries, separated by a comma")
    private String admins;

    @Option(name = "--service", required = true, usage = "address of the flags service, to read what really ran")
    private String service;

    @Option(name = "--key", required = true, usage = "bearer key of a workspace")
    private String key;

    @Option(name = "--long-key", required = true, usage = "bearer key of a workspace that may send long requests")
    private String longKey;

    @Option(name = "--upstreams", usage = "upstreams that each entry must reach first")
    private int upstreams = 3;

    private final Clock clock = MonotonicClock.start();
    private int failures;

    /** Sends the requests, prints each answer, and returns 0 if all answers are as expected and 1 otherwise. */
    public int run(PrintStream out) {
        List<String> entryAddresses = Splitter.on(',').splitToList(entries);
        try (HttpCallClient client = new HttpCallClient()) {
            awaitReady(client);
            Map<String, String> auth = Map.of("authorization", "Bearer " + key);
            check(
                    out,
                    "short request",
                    client.call(entryAddresses.get(0), HttpRequestMethod.POST, CHAT, auth, chat(20, false)),
                    answered("w19"));
            check(
                    out,
                    "long request",
                    client.call(
                            entryAddresses.get(1),
                            HttpRequestMethod.POST,
                            CHAT,
                            Map.of("authorization", "Bearer " + longKey),
                            chat(2_000, false)),
                    answered("w1999"));
            check(
                    out,
                    "streamed request",
                    client.call(entryAddresses.get(0), HttpRequestMethod.POST, CHAT, auth, chat(60, true)),
                    answered("data: [DONE]"));
            check(
                    out,
                    "lookup at a plain service",
                    client.call(entryAddresses.get(1), HttpRequestMethod.GET, "/flags/7", auth, ""),
                    answered("GET /flags/7"));
            orders(out, client, entryAddresses, auth);
            refusals(out, client, entryAddresses, auth);
            HttpCallClient.Response runCounts = client.get(service, "/admin/ran");
            check(out, "the service ran the order once", runCounts, answered("\"POST /flags/orders two red flags\":1"));
        }
        out.println(failures == 0 ? "all answers were as expected" : failures + " answers were not as expected");
        return failures == 0 ? EXIT_OK : EXIT_FAILED;
    }

    private void orders(PrintStream out, HttpCallClient client, List<String> entryAddresses, Map<String, String> auth) {
        Map<String, String> keyed =
                Map.of("authorization", auth.get("authorization"), "idempotency-key", "\"order-1\"");
        check(
                out,
                "non-idempotent order",
                client.call(entryAddresses.get(0), HttpRequestMethod.POST, "/flags/orders", keyed, "two red flags"),
                answered("\"times_run\":1"));
        check(
                out,
                "resend of the order through the other entry",
                client.call(entryAddresses.get(1), HttpRequestMethod.POST, "/flags/orders", keyed, "two red flags"),
                answered("\"times_run\":1"));
        check(
                out,
                "same key with another body",
                client.call(entryAddresses.get(1), HttpRequestMethod.POST, "/flags/orders", keyed, "three red flags"),
                refused(422, "idempotency_key_reused"));
    }

    private void refusals(
            PrintStream out, HttpCallClient client, List<String> entryAddresses, Map<String, String> auth) {
        check(
                out,
                "order without a key",
                client.call(entryAddresses.get(0), HttpRequestMethod.POST, "/flags/orders", auth, "one flag"),
                refused(400, "idempotency_key_required"));
        check(
                out,
                "unknown bearer key",
                client.call(
                        entryAddresses.get(0),
                        HttpRequestMethod.GET,
                        "/flags/7",
                        Map.of("authorization", "Bearer none"),
                        ""),
                refused(401, "unauthorized"));
        Map<String, String> hurried = Map.of("authorization", auth.get("authorization"), "x-deadline-ms", "5");
        check(
                out,
                "deadline that cannot be met",
                client.call(entryAddresses.get(1), HttpRequestMethod.POST, CHAT, hurried, chat(100, false)),
                refused(503, "deadline_unreachable"));
        check(
                out,
                "malformed body",
                client.call(entryAddresses.get(0), HttpRequestMethod.POST, CHAT, auth, "{"),
                refused(400, "malformed_request"));
    }

    private void awaitReady(HttpCallClient client) {
        for (String admin : Splitter.on(',').split(admins)) {
            await(() -> client.get(admin, "/admin/health").status() == 200);
            await(() -> Json.read(client.get(admin, "/admin/dump").body().getBytes(StandardCharsets.UTF_8))
                    .map(dump -> dump.path("upstreams").size() >= upstreams)
                    .orElse(false));
        }
    }

    private void await(BooleanSupplier condition) {
        long endMillis = clock.millis() + READY_LIMIT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (clock.millis() > endMillis) {
                throw new IllegalStateException("the processes are not ready after " + READY_LIMIT_MILLIS + " ms");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }

    private static String chat(int outputTokens, boolean stream) {
        return new String(
                Json.write(Map.of(
                        "model",
                        "advisory",
                        "stream",
                        stream,
                        "max_tokens",
                        outputTokens,
                        "messages",
                        List.of(Map.of("role", "user", "content", "Is the ice on the pond safe today?")))),
                StandardCharsets.UTF_8);
    }

    private static Predicate<HttpCallClient.Response> answered(String part) {
        return answer -> answer.status() == 200 && answer.body().contains(part);
    }

    private static Predicate<HttpCallClient.Response> refused(int status, String kind) {
        return answer -> answer.status() == status
                && answer.body().contains("\"" + kind + "\"")
                && answer.body().contains("\"not_run\"");
    }

    private void check(
            PrintStream out, String name, HttpCallClient.Response answer, Predicate<HttpCallClient.Response> expected) {
        boolean asExpected = expected.test(answer);
        failures += asExpected ? 0 : 1;
        String body = answer.body().strip().replace("\n", " ");
        String shown =
                body.length() > 160 ? body.substring(0, 60) + " ... " + body.substring(body.length() - 90) : body;
        out.printf("%-6s %-45s %d %s%n", asExpected ? "ok" : "WRONG", name, answer.status(), shown);
    }
}
