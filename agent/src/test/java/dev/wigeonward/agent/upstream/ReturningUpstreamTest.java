package dev.wigeonward.agent.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;

import dev.wigeonward.standins.local.FreePorts;
import dev.wigeonward.standins.service.PlainService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReturningUpstreamTest {
    private static final int FAILED_REQUESTS = 10;

    /** Guards against requests that are not sent for seconds after an upstream that refused connections is back. */
    @Test
    void upstreamGetsRequestsAsSoonAsItAcceptsConnections() throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
        HttpUpstreamClient client = HttpUpstreamClient.forPlainService(address);
        for (int request = 0; request < FAILED_REQUESTS; request++) {
            assertThat(AnswerCollector.submit(client, "id-" + request, "/a")).startsWith("not sent");
        }
        PlainService service = PlainService.start(address, Duration.ZERO);
        try {
            assertThat(AnswerCollector.submit(client, "id", "/a")).startsWith("200");
        } finally {
            client.close();
            service.close();
        }
    }
}
