package dev.wigeonward.standins.kv;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.wigeonward.common.clock.PausedClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KvAdminTest {
    private final KvStandin standin = KvStandin.start(new InetSocketAddress("127.0.0.1", 0), PausedClock.at(0));
    private final HttpClient client = HttpClient.newHttpClient();

    @AfterEach
    void close() {
        standin.close();
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + standin.port() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Guards against configured faults that are not applied, and against counters that omit refused calls. */
    @Test
    void faultsAndCountersOverTheAdminPath() throws Exception {
        String range = "{\"key\":\"YQ==\"}";
        assertThat(post("/v3/kv/range", range).statusCode()).isEqualTo(200);
        assertThat(post("/admin/faults", "{\"down\":\"refuse\"}").statusCode()).isEqualTo(200);
        assertThat(post("/v3/kv/range", range).statusCode()).isEqualTo(503);
        assertThat(post("/admin/faults", "{\"reads_per_second\":2}").statusCode())
                .isEqualTo(200);
        assertThat(post("/v3/kv/range", range).statusCode()).isEqualTo(200);
        assertThat(post("/v3/kv/range", range).statusCode()).isEqualTo(429);

        JsonNode counters =
                new ObjectMapper().readTree(post("/admin/counters", "").body());
        assertThat(counters.path("calls").path("/v3/kv/range").asInt()).isEqualTo(4);
        assertThat(counters.path("waiting_watches").asInt()).isZero();
    }

    /** Guards against a misspelled fault that is ignored, so that an experiment would run without it. */
    @Test
    void unknownFaultIsRefused() throws Exception {
        assertThat(post("/admin/faults", "{\"slow_milis\":5}").statusCode()).isEqualTo(400);
    }
}
