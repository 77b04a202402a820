package dev.wigeonward.verification.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import dev.wigeonward.common.http.Json;
import dev.wigeonward.standins.http.HttpCallClient;
import dev.wigeonward.standins.http.HttpCallClient.Response;
import dev.wigeonward.standins.local.LocalDeployment;
import dev.wigeonward.standins.local.LocalUpstream;
import io.servicetalk.http.api.HttpRequestMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Injects faults into processes on loopback: kills, freezes, shutdowns, a store outage and silent connections. */
@Timeout(value = 150, unit = TimeUnit.SECONDS)
class ProcessFaultsTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String RESCUE = "Bearer kopsu-demo-rescue";
    private static final int SIMULTANEOUS_KEYS = 50;
    private static final int KEYS_AT_ONCE = 5;
    private static final String CHAT = "/v1/chat/completions";
    private static final LocalUpstream FLAGS = LocalUpstream.service("flags", "flags", 1_500);
    private static final LocalUpstream ENGINE = LocalUpstream.engine("engine", "advisory", 8, 40);

    @TempDir
    private Path directory;

    private final HttpCallClient client = new HttpCallClient();

    private LocalDeployment deploy(int entries, LocalUpstream... upstreams) throws IOException {
        return LocalDeployment.start(
                ROOT, directory, ROOT.resolve("examples/kopsu.rules"), List.of(upstreams), entries);
    }

    private CompletableFuture<Response> order(LocalDeployment deployment, String entry, String key) {
        return client.start(
                deployment.address(entry),
                HttpRequestMethod.POST,
                "/flags/orders",
                Map.of("authorization", RESCUE, "idempotency-key", key),
                "two flags");
    }

    private CompletableFuture<Response> chat(LocalDeployment deployment, String entry, int tokens, String prompt) {
        return chat(deployment, entry, tokens, List.of(Map.of("role", "user", "content", prompt)));
    }

    private CompletableFuture<Response> chat(
            LocalDeployment deployment, String entry, int tokens, List<Map<String, String>> messages) {
        byte[] body =
                Json.write(Map.of("model", "advisory", "stream", true, "max_tokens", tokens, "messages", messages));
        return client.start(
                deployment.address(entry),
                HttpRequestMethod.POST,
                CHAT,
                Map.of("authorization", RESCUE),
                new String(body, StandardCharsets.UTF_8));
    }

    private int ordersRun(LocalDeployment deployment) {
        return deployment
                .page(deployment.address("flags"), "/admin/ran")
                .path("POST /flags/orders two flags")
                .asInt();
    }

    private static String wholeStream(Response answer) {
        return answer.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.read(line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8))
                        .orElseThrow())
                .map(event -> event.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText())
                .collect(Collectors.joining());
    }

    private static String tokens(int count) {
        return IntStream.range(0, count).mapToObj(number -> "w" + number + " ").collect(Collectors.joining());
    }

    /** Guards against a second run of an order that is resent after its first entry was killed before it answered. */
    @Test
    void orderRunsOnceWhenItsEntryIsKilledAndTheCallerResendsThroughAnother() throws Exception {
        try (LocalDeployment deployment = deploy(2, FLAGS)) {
            CompletableFuture<Response> first = order(deployment, "entry-1", "k1");
            deployment.awaitCondition("the order runs", () -> ordersRun(deployment) == 1);
            deployment.process("entry-1").kill();
            assertThat(first.join().status()).isZero();
            Response resent = order(deployment, "entry-2", "k1").join();
            assertThat(resent.status()).as(resent.body()).isEqualTo(200);
            assertThat(resent.body()).contains("\"times_run\":1");
            assertThat(ordersRun(deployment)).isEqualTo(1);
        }
    }

    /** Guards against a "not run" answer to one of two simultaneous requests of a key while the other runs or ran. */
    @Test
    void bothCopiesOfAKeyGetTheAnswerWhenTheyComeAtTheSameInstant() throws Exception {
        LocalUpstream[] upstreams = IntStream.rangeClosed(1, 2)
                .mapToObj(number -> LocalUpstream.service("flags-" + number, "flags", 0))
                .toArray(LocalUpstream[]::new);
        try (LocalDeployment deployment = deploy(2, upstreams)) {
            Map<String, String> failures = new TreeMap<>();
            for (int number = 0; number < SIMULTANEOUS_KEYS; number += KEYS_AT_ONCE) {
                Map<String, CompletableFuture<Response>> answers = new TreeMap<>();
                for (int each = number; each < number + KEYS_AT_ONCE; each++) {
                    answers.put(each + " first", order(deployment, "entry-1", "same-" + each));
                    answers.put(each + " second", order(deployment, "entry-2", "same-" + each));
                }
                answers.forEach((copy, answer) -> {
                    if (answer.join().status() != 200) {
                        failures.put(copy, answer.join().body());
                    }
                });
            }
            assertThat(failures).isEmpty();
        }
    }

    /** Guards against an order that runs again, or is reported as not run, after the agent that ran it was killed. */
    @Test
    void orderIsNotRepeatedWhenItsAgentIsKilled() throws Exception {
        try (LocalDeployment deployment = deploy(2, FLAGS)) {
            CompletableFuture<Response> first = order(deployment, "entry-1", "k1");
            deployment.awaitCondition("the order runs", () -> ordersRun(deployment) == 1);
            deployment.process(FLAGS.agentName()).kill();
            assertThat(first.join().body()).contains("\"unknown\"");
            deployment.process(FLAGS.agentName()).restart();
            String admin = deployment.address("entry-2-admin");
            deployment.awaitCondition("the new agent is linked", () -> deployment.linkCount(admin) == 1);
            Response resent = order(deployment, "entry-2", "k1").join();
            assertThat(resent.body()).contains("\"outcome_unknown\"", "\"unknown\"");
            assertThat(ordersRun(deployment)).isEqualTo(1);
        }
    }

    /** Guards against orders that run without a durable claim, and against a store outage that fails other requests. */
    @Test
    void ordersAreRefusedAsNotRunAndChatsGoOnWhileTheStoreIsDown() throws Exception {
        try (LocalDeployment deployment = deploy(1, FLAGS, ENGINE)) {
            deployment.process("kv").kill();
            Response refused = order(deployment, "entry-1", "k1").join();
            assertThat(refused.status()).as(refused.body()).isEqualTo(503);
            // Nothing could be read of the claim, so an earlier copy may have run for all that is known.
            assertThat(refused.body()).contains("\"claim_unavailable\"", "\"unknown\"");
            assertThat(ordersRun(deployment)).isZero();
            assertThat(wholeStream(chat(deployment, "entry-1", 10, "hello").join()))
                    .isEqualTo(tokens(10));
        }
    }

    /** Guards against lost or duplicated output when a process is frozen for longer than the heartbeat timeout. */
    @Test
    void streamIsWholeWhenItsAgentFreezesPastTheHeartbeatTimeout() throws Exception {
        try (LocalDeployment deployment = deploy(1, ENGINE)) {
            String admin = deployment.address("entry-1-admin");
            CompletableFuture<Response> answer = chat(deployment, "entry-1", 160, "hello");
            deployment.awaitCondition("the request runs", () -> running(deployment, ENGINE) == 1);
            deployment.process(ENGINE.agentName()).freeze();
            deployment.awaitCondition("the silent link is given up", () -> deployment.linkCount(admin) == 0);
            deployment.process(ENGINE.agentName()).resume();
            Response whole = answer.join();
            assertThat(whole.body()).doesNotContain("event: error");
            assertThat(wholeStream(whole)).isEqualTo(tokens(160));
        }
    }

    /** Guards against waiting on a connection that drops all bytes without being closed, while new connections work. */
    @Test
    void streamIsWholeWhenItsLinkGoesSilentWhileNewOnesWork() throws Exception {
        try (LocalDeployment deployment = deploy(1, ENGINE)) {
            String admin = deployment.address("entry-1-admin");
            try (SilencingProxy proxy = new SilencingProxy(deployment.address(ENGINE.agentName()))) {
                deployment.replaceRegisteredAddress(ENGINE, proxy.address());
                deployment.register();
                deployment.process(ENGINE.agentName()).kill();
                deployment.awaitCondition("the direct link is gone", () -> deployment.linkCount(admin) == 0);
                deployment.process(ENGINE.agentName()).restart();
                deployment.awaitCondition(
                        "a link goes through the proxy",
                        () -> proxy.connections() > 0 && deployment.linkCount(admin) == 1);
                CompletableFuture<Response> answer = chat(deployment, "entry-1", 200, "hello");
                deployment.awaitCondition("the request runs", () -> running(deployment, ENGINE) == 1);
                proxy.silenceOpenConnections();
                Response whole = answer.join();
                assertThat(whole.body()).doesNotContain("event: error");
                assertThat(wholeStream(whole)).isEqualTo(tokens(200));
            }
        }
    }

    /** Guards against a graceful shutdown of an entry or agent that interrupts requests or never ends. */
    @Test
    void gracefulShutdownOfEntryAndAgentCutsNoRequest() throws Exception {
        LocalUpstream second = LocalUpstream.engine("second", "advisory", 8, 40);
        try (LocalDeployment deployment = deploy(2, ENGINE, second)) {
            List<CompletableFuture<Response>> answers = IntStream.range(0, 6)
                    .mapToObj(number -> chat(deployment, "entry-" + (1 + number % 2), 80, "hello " + number))
                    .toList();
            deployment.awaitCondition(
                    "requests run", () -> running(deployment, ENGINE) + running(deployment, second) == 6);
            deployment.process(ENGINE.agentName()).terminate();
            deployment.process("entry-1").terminate();
            for (CompletableFuture<Response> answer : answers) {
                assertThat(wholeStream(answer.join())).isEqualTo(tokens(80));
            }
            assertThat(wholeStream(chat(deployment, "entry-2", 10, "after").join()))
                    .isEqualTo(tokens(10));
            assertThat(deployment.process("entry-1").awaitExit()).isTrue();
            assertThat(deployment.process(ENGINE.agentName()).awaitExit()).isTrue();
        }
    }

    /** Guards against a request that crashes one upstream after another when it is resent through different entries. */
    @Test
    void requestThatCrashesUpstreamsIsRefusedBeforeItTakesTheThird() throws Exception {
        List<LocalUpstream> engines = IntStream.rangeClosed(1, 4)
                .mapToObj(number -> LocalUpstream.engine("engine-" + number, "advisory", 8, 200)
                        .with("--crash-marker", "poison"))
                .toList();
        try (LocalDeployment deployment = deploy(2, engines.toArray(LocalUpstream[]::new))) {
            for (int send = 0; send < 6; send++) {
                Response answer = chat(deployment, "entry-" + (1 + send % 2), 10, "poison")
                        .join();
                assertThat(answer.status()).as(answer.body()).isNotEqualTo(200);
            }
            long dead = engines.stream()
                    .filter(engine -> !deployment.process(engine.name()).alive())
                    .count();
            assertThat(dead).isBetween(1L, 3L);
            Response refused = chat(deployment, "entry-1", 10, "poison").join();
            assertThat(refused.body()).contains("\"suspect\"", "\"not_run\"");
            Response other = chat(deployment, "entry-2", 10, "hello").join();
            assertThat(wholeStream(other))
                    .as("%s %s", other.status(), other.body())
                    .isEqualTo(tokens(10));
        }
    }

    /** Guards against different requests that crash one upstream after another because they share one message. */
    @Test
    void requestsThatShareADeadlyMessageDoNotCrashAllUpstreams() throws Exception {
        List<LocalUpstream> engines = IntStream.rangeClosed(1, 7)
                .mapToObj(number -> LocalUpstream.engine("engine-" + number, "advisory", 8, 200)
                        .with("--crash-marker", "poison"))
                .toList();
        try (LocalDeployment deployment = deploy(2, engines.toArray(LocalUpstream[]::new))) {
            for (int send = 0; send < 9; send++) {
                List<Map<String, String>> messages = List.of(
                        Map.of("role", "system", "content", "poison"),
                        Map.of("role", "user", "content", "question " + send));
                String entry = "entry-" + (1 + send % 2);
                chat(deployment, entry, 10, messages).join();
                // Upstreams that end at about the same time may have a common cause, so these end one after the other.
                Thread.sleep(400);
                chat(deployment, entry, 10, "hello " + send).join();
            }
            long dead = engines.stream()
                    .filter(engine -> !deployment.process(engine.name()).alive())
                    .count();
            assertThat(dead).isBetween(1L, 5L);
        }
    }

    private static int running(LocalDeployment deployment, LocalUpstream upstream) {
        return deployment
                .page(deployment.address(upstream.agentName() + "-admin"), "/admin/dump")
                .path("running")
                .asInt();
    }
}
