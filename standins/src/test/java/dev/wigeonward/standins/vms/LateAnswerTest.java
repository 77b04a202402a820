package dev.wigeonward.standins.vms;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import dev.wigeonward.common.vms.HttpVmList;
import dev.wigeonward.common.vms.VmListOptions;
import dev.wigeonward.standins.http.RepeatingServer;
import dev.wigeonward.standins.http.RepeatingServer.Moment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static dev.wigeonward.standins.Awaiting.awaitUntil;
import static dev.wigeonward.standins.http.RepeatingServer.answer;
import static org.assertj.core.api.Assertions.assertThat;

/** Tests a VM list whose service writes the answer to an earlier poll once more. */
class LateAnswerTest {
    private static final int POLL_MILLIS = 100;
    private static final int TIMEOUT_MILLIS = 1_000;

    /** Guards against a list that is one answer behind the service from the first late answer on. */
    @ParameterizedTest
    @EnumSource
    void eachPollIsAnsweredByItsOwnAnswer(Moment moment) throws IOException {
        List<String> polls = new CopyOnWriteArrayList<>();
        ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
        try (RepeatingServer server = RepeatingServer.start(moment, request -> {
                    polls.add(request.target());
                    return answer(200, "{\"version\":%d,\"full\":true,\"vms\":[]}".formatted(polls.size()));
                });
                HttpVmList list = HttpVmList.start(
                        new VmListOptions(server.address(), POLL_MILLIS, TIMEOUT_MILLIS), thread, new Random(1))) {
            awaitUntil("four polls", () -> polls.size() >= 4);

            assertThat(List.copyOf(polls).subList(0, 4))
                    .containsExactly("/v1/vms?since=0", "/v1/vms?since=1", "/v1/vms?since=2", "/v1/vms?since=3");
            assertThat(list.snapshot().version()).isGreaterThanOrEqualTo(3);
        } finally {
            thread.shutdownNow();
        }
    }
}
