import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * An entry is frozen while a runner that sends answers without length crashes and comes back. What the entry makes of
 * the broken answers is compared with what the runner sent.
 */
final class FrozenEntryCase {
    private static final int STREAMS = 6;
    private static final int PLAIN = 6;
    private static final int RUNNERS = 4;

    public static void main(String[] arguments) {
        int status = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            status = run(lab);
            lab.log(status == 0 ? "the rule held" : "the rule is broken");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put(
                "op/config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"lab.example\",\"prefix\":\"/long/\","
                        + "\"type\":\"unsafe\",\"timeout_ms\":15000,\"slo_ms\":4000,\"priority\":0,"
                        + "\"service\":\"llm\",\"attempts\":1,\"public\":false,\"affinity\":false,"
                        + "\"resumable\":false},{\"name\":\"r-stream\",\"host\":\"lab.example\",\"prefix\":\"/stream/\","
                        + "\"type\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":800,\"priority\":0,"
                        + "\"service\":\"llm\",\"attempts\":1,\"public\":false,\"affinity\":true,"
                        + "\"resumable\":false,\"itl_target_ms\":200}],"
                        + "\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":310}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key1\"],\"priority\":1,"
                        + "\"unit\":\"tokens\",\"default_tokens\":200,\"rate_per_s\":200000,\"burst\":200000}]}");
        List<RunnerProcess> runners = new ArrayList<>();
        for (int i = 1; i <= RUNNERS; i++) {
            RunnerProcess runner = new RunnerProcess(lab, "i-" + i, Lab.freePort());
            runner.register("llm", 10, 1);
            runners.add(runner);
        }
        List<Lab.Entry> entries = lab.startEntries(3);
        Lab.sleep(1_500);
        ExecutorService requesters = Executors.newFixedThreadPool(STREAMS + PLAIN);
        List<Future<Lab.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < STREAMS + PLAIN; i++) {
            answers.add(requesters.submit(request(entries.get(0), i)));
        }
        Lab.sleep(1_000);
        if (Lab.TROUBLE) {
            // One runner of four crashes, the one that runs most of these requests.
            RunnerProcess crashed = runners.stream()
                    .max((one, other) -> Long.compare(one.count("runs "), other.count("runs ")))
                    .orElseThrow();
            entries.get(0).signal("STOP");
            Lab.sleep(200);
            crashed.kill();
            Lab.sleep(2_000);
            RunnerProcess back = new RunnerProcess(lab, "i-" + (RUNNERS + 1), crashed.port);
            back.register("llm", 10, 1);
            Lab.sleep(200);
            entries.get(0).signal("CONT");
        }
        int broken = 0;
        for (int i = 0; i < STREAMS + PLAIN; i++) {
            Lab.Answer answer = answers.get(i).get();
            boolean stream = i < STREAMS;
            boolean last = answer.text().contains(stream ? "data: last\n\n" : ", second half of");
            lab.log("request a" + i + (stream ? " (stream)" : " (order)") + ": status " + answer.status
                    + ", signature " + answer.headers.get("Server-Signature") + ", body of "
                    + answer.body.size() + " bytes"
                    + (stream
                            ? " with " + (answer.text().split("data:", -1).length - 1) + " events, the runner made "
                                    + count(runners, "event a" + i + " ") + " of " + Runner.EVENTS
                            : "")
                    + ", last part " + (last ? "there" : "missing") + ", the runner sent it whole: "
                    + (count(runners, "whole a" + i + " ") > 0) + ", end of the answer: " + answer.end);
            if (answer.status == 200 && answer.whole && !last) {
                broken++;
            }
        }
        requesters.shutdownNow();
        lab.log("answers that look complete and aren't: " + broken + " of " + (STREAMS + PLAIN));
        return broken > 0 ? 1 : 0;
    }

    private static long count(List<RunnerProcess> runners, String prefix) {
        return runners.stream().mapToLong(runner -> runner.count(prefix)).sum();
    }

    private static Callable<Lab.Answer> request(Lab.Entry entry, int number) {
        return () -> {
            try (Lab.Channel channel = entry.connect()) {
                byte[] body = "prompt".getBytes(StandardCharsets.UTF_8);
                boolean stream = number < STREAMS;
                String head = "POST " + (stream ? "/stream/x" : "/long/x") + " HTTP/1.1\r\nHost: lab.example\r\n"
                        + "Attempt-Id: a" + number + "\r\n"
                        + (stream ? "Model: m\r\nToken-Usage: 100,300\r\nPrefix-Hash: aa" + number + ":100\r\n" : "")
                        + "Deadline-Ms: 15000\r\nAuthorization: Bearer key1\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
                // A requester abandons a stream after a gap of four times the objective.
                return channel.call(head, body, stream ? 3_200 : 15_000);
            }
        };
    }
}
