import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A service is moved to a version that is bad under load only. It stands the share of requests that it gets at first,
 * and fails half of them once it gets all.
 */
final class RolloutCase {
    private static final int REQUESTERS_PER_ENTRY = 4;
    private static final int PERIOD_MILLIS = 40;
    /** Requests a second from which the new version is bad; all requesters together send 300. */
    private static final int LOAD = 200;

    private static final int DEADLINE_SECONDS = 12;
    private static final long ROLLBACK_MILLIS = 5_000;
    private static final double EXPOSURE_SHARE = 0.1;
    private static final int EXPOSURE_MARGIN = 50;
    private static final int BAD_ANSWERS = 50;
    private static final int BEAT_MILLIS = 1_200;
    private static final int STEP_MILLIS = 20;
    private static final int STEPS = 25_000 / STEP_MILLIS;

    /** Times at which requests were sent, by identifier. */
    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();

    private static final AtomicInteger ASKED = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicBoolean RUNNING = new AtomicBoolean(true);

    public static void main(String[] arguments) {
        int status = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            status = run(lab);
            lab.log(status == 0 ? "the rule held" : status == 1 ? "the rule is broken" : "the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put(
                "op/config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-app\",\"host\":\"lab.example\",\"prefix\":\"/app/\","
                        + "\"type\":\"safe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":0,\"service\":\"app\","
                        + "\"attempts\":1,\"public\":false,\"affinity\":false,\"resumable\":false}],"
                        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key1\"],\"priority\":1,"
                        + "\"unit\":\"tokens\",\"default_tokens\":200}]}");
        List<RunnerProcess> old = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            RunnerProcess runner = new RunnerProcess(lab, "i-old" + i, Lab.freePort(), Integer.MAX_VALUE, false);
            runner.register("app", "v1", 6, 1);
            old.add(runner);
        }
        List<Lab.Entry> entries = lab.startEntries(3);
        Lab.sleep(1_500);
        for (Lab.Entry entry : entries) {
            for (int i = 0; i < REQUESTERS_PER_ENTRY; i++) {
                startRequester(entry);
            }
        }
        Lab.sleep(3_000);
        RunnerProcess fresh =
                new RunnerProcess(lab, "i-new1", Lab.freePort(), Lab.TROUBLE ? LOAD : Integer.MAX_VALUE, false);
        fresh.register("app", "v2", 10, 1);
        Lab.sleep(500);
        lab.store.put(
                "op/rollout/app",
                "{\"service\":\"app\",\"target\":\"v2\",\"deadline_s\":" + DEADLINE_SECONDS + "}");
        long orderNanos = System.nanoTime();
        long deadlineNanos = orderNanos + DEADLINE_SECONDS * 1_000_000_000L;
        lab.log("order to move app to v2 is acknowledged, deadline_s " + DEADLINE_SECONDS);
        boolean stopped = follow(lab, old, fresh);
        RUNNING.set(false);
        return judge(lab, old, fresh, orderNanos, deadlineNanos, stopped);
    }

    /** Acts as the platform: follows the state, stops the old runners at its end, and renews the runners' entries. */
    private static boolean follow(Lab lab, List<RunnerProcess> old, RunnerProcess fresh) throws Exception {
        String state = "";
        boolean stopped = false;
        int askedBefore = ASKED.get();
        int servedBefore = SERVED.get();
        long newBefore = 0;
        long failedBefore = 0;
        for (int step = 1; step <= STEPS; step++) {
            Lab.sleep(STEP_MILLIS);
            String now = lab.store.text("status/rollout/app");
            if (!now.equals(state)) {
                state = now;
                lab.log("status/rollout/app: " + state);
            }
            if (!stopped && state.contains("completed")) {
                stopped = true;
                for (RunnerProcess runner : old) {
                    runner.kill();
                    lab.store.remove("servers/" + runner.id);
                }
            }
            if (step % (BEAT_MILLIS / STEP_MILLIS) == 0) {
                fresh.register("app", "v2", 10, step);
                for (RunnerProcess runner : stopped ? List.<RunnerProcess>of() : old) {
                    runner.register("app", "v1", 6, step);
                }
            }
            if (step % (1_000 / STEP_MILLIS) == 0) {
                long ran = fresh.count("runs ");
                long failed = fresh.count("failed ");
                lab.log("last second: asked " + (ASKED.get() - askedBefore) + ", served "
                        + (SERVED.get() - servedBefore) + ", run by v2 " + (ran - newBefore) + ", of these failed "
                        + (failed - failedBefore));
                askedBefore = ASKED.get();
                servedBefore = SERVED.get();
                newBefore = ran;
                failedBefore = failed;
            }
        }
        return stopped;
    }

    private static int judge(
            Lab lab, List<RunnerProcess> old, RunnerProcess fresh, long orderNanos, long deadlineNanos, boolean stopped) {
        long all = 0;
        for (RunnerProcess runner : old) {
            all += runner.countBetween("runs ", orderNanos, deadlineNanos);
        }
        long exposed = fresh.countBetween("runs ", orderNanos, deadlineNanos);
        all += exposed;
        double allowed = EXPOSURE_SHARE * all + EXPOSURE_MARGIN;
        lab.log("between the order and its deadline " + all + " requests reached app, " + exposed
                + " of them v2; allowed to a bad version " + allowed);
        long badNanos = fresh.timeOf("failed ", BAD_ANSWERS);
        long late = 0;
        if (badNanos != Long.MAX_VALUE) {
            for (RunnerProcess.Line line : fresh.lines) {
                Long sentNanos = line.text().startsWith("runs ") ? SENT.get(line.text().split(" ")[1]) : null;
                late += sentNanos != null && sentNanos > badNanos + ROLLBACK_MILLIS * 1_000_000 ? 1 : 0;
            }
        }
        lab.log("bad answers of v2: " + fresh.count("failed ") + "; requests that v2 ran though they were sent later"
                + " than " + ROLLBACK_MILLIS + " ms after its 50th: " + late);
        if (!Lab.TROUBLE) {
            return stopped ? 0 : 2;
        }
        // Fewer than the 50 bad answers of the rule would mean that the version was not seen to be bad.
        boolean bad = fresh.count("failed ") > 0;
        return bad && (exposed > allowed || late > 0) ? 1 : 0;
    }

    /** Starts a requester that sends a request at a fixed rate on a kept channel. */
    private static void startRequester(Lab.Entry entry) {
        Thread thread = new Thread(() -> {
            Lab.Channel channel = null;
            long next = System.nanoTime();
            while (RUNNING.get()) {
                try {
                    next = Math.max(next + PERIOD_MILLIS * 1_000_000L, System.nanoTime() - 500_000_000L);
                    Lab.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
                    channel = channel == null ? entry.connect() : channel;
                    String id = "c" + ASKED.incrementAndGet();
                    SENT.put(id, System.nanoTime());
                    Lab.Answer answer = channel.call(
                            "GET /app/x HTTP/1.1\r\nHost: lab.example\r\nAttempt-Id: " + id
                                    + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key1\r\n\r\n",
                            new byte[0],
                            4_500);
                    if (answer.status == 200 && answer.whole) {
                        SERVED.incrementAndGet();
                    }
                    if (!answer.whole || "close".equals(answer.headers.get("Connection"))) {
                        channel.close();
                        channel = null;
                    }
                } catch (IOException e) {
                    channel = null;
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
