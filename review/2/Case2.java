import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Five entries, three runners of version 1. The operator orders a move to version 2, whose three runners register 0.3
 * s later. Around this the store's watches hear nothing for 0.95 s, then its history is dropped and they are cut.
 * Version 2 answers well for 14 s and then fails half of its requests. It may get a tenth of the requests and 50 more.
 */
final class Case2 extends Case {
    private static final int DEADLINE_SECONDS = 30;
    private static final int GOOD_SECONDS = 14;
    private static final double EXPOSURE_SHARE = 0.1;
    private static final int EXPOSURE_MARGIN = 50;
    private static final double CONTACT_SECONDS = 3;
    private static final double ROLLBACK_SECONDS = 5;
    private static final int CALLERS_PER_ENTRY = 6;

    private final List<Double> allAt = Collections.synchronizedList(new ArrayList<>());
    private final List<Double> targetAt = Collections.synchronizedList(new ArrayList<>());
    private final List<Double> badAt = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();
    private volatile double orderedAt = Double.MAX_VALUE;
    private volatile boolean ending;

    public static void main(String[] arguments) {
        run(new Case2(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("op/config", Site.configuration(1, 5_000));
        Runner.Work good = Runner.plain(20);
        for (int index = 0; index < 3; index++) {
            Runner runner = new Runner("127.0.0.1", "i-old-" + index, "app", 10, (request, out) -> {
                allAt.add(record.seconds());
                return good.run(request, out);
            });
            store.put("servers/" + runner.id, runner.entry("ready"));
        }
        List<Runner> targets = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            Runner runner = new Runner("127.0.0.1", "i-new-" + index, "app", 10, (request, out) -> {
                double now = record.seconds();
                allAt.add(now);
                targetAt.add(now);
                return now - orderedAt < GOOD_SECONDS || targetAt.size() % 2 == 0
                        ? good.run(request, out)
                        : fail(request, out);
            });
            runner.version = "2";
            targets.add(runner);
        }
        List<Entry> entries = Entry.several(5, folder, store.address());
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            entry.awaitReady(30_000);
        }
        for (Entry entry : entries) {
            for (int caller = 0; caller < CALLERS_PER_ENTRY; caller++) {
                String name = entry.ip + "-" + caller;
                Http.daemon("caller", () -> call(entry, name));
            }
        }
        Thread.sleep(4_000);
        if (trouble) {
            store.deafenWatches();
            record.line("watches hear nothing");
        }
        Thread.sleep(50);
        orderedAt = record.seconds();
        store.put("op/rollout/app",
                "{\"service\":\"app\",\"target\":\"2\",\"deadline_s\":" + DEADLINE_SECONDS + "}");
        record.line("the operator orders version 2");
        Thread.sleep(300);
        for (Runner runner : targets) {
            store.put("servers/" + runner.id, runner.entry("ready"));
        }
        record.line("the runners of version 2 register");
        Thread.sleep(600);
        double stableAt = orderedAt;
        if (trouble) {
            store.discardHistory();
            stableAt = record.seconds() + CONTACT_SECONDS;
            record.line("the history is dropped, watches are cut");
        }
        while (record.seconds() < orderedAt + DEADLINE_SECONDS) {
            Thread.sleep(1_000);
            record.line("state " + store.value("status/rollout/app") + " at version 2: " + targetAt.size());
        }
        boolean held = judge(entries, stableAt);
        ending = true;
        return held;
    }

    private boolean fail(Http.Message request, OutputStream out) throws Exception {
        badAt.add(record.seconds());
        Thread.sleep(20);
        out.write(Http.head("HTTP/1.1 500 Internal Server Error", "Attempt-Id: " + request.headers.get("Attempt-Id"),
                Runner.signature(), "Content-Length: 0"));
        return true;
    }

    private boolean judge(List<Entry> entries, double stableAt) throws IOException {
        double deadlineAt = orderedAt + DEADLINE_SECONDS;
        long all = List.copyOf(allAt).stream().filter(at -> at >= orderedAt && at <= deadlineAt).count();
        List<Double> target = List.copyOf(targetAt);
        long counted = target.stream().filter(at -> at >= stableAt && at <= deadlineAt).count();
        double allowed = EXPOSURE_SHARE * all + EXPOSURE_MARGIN;
        for (Entry entry : entries) {
            record.say(entry.ip + " log: " + entry.logged("shift_ordered") + entry.logged("shift service"));
        }
        record.say("requests at the service from the order to its deadline " + all + ", at version 2 " + target.size()
                + ", of these sent by entries in touch " + counted + ", allowed " + Math.round(allowed));
        record.say("answers: " + answers + ", bad answers of version 2: " + badAt.size());
        boolean late = false;
        if (badAt.size() >= 50) {
            double limit = badAt.get(49) + ROLLBACK_SECONDS;
            long after = target.stream().filter(at -> at > limit && at > stableAt + ROLLBACK_SECONDS).count();
            record.say("requests at version 2 later than rollback_ms after its 50th bad answer: " + after);
            late = after > 0;
        }
        return counted <= allowed && !late;
    }

    private void call(Entry entry, String name) {
        int sent = 0;
        while (!ending) {
            try (Socket socket = entry.connect()) {
                socket.setSoTimeout(10_000);
                Http.Reader in = new Http.Reader(socket.getInputStream());
                while (!ending) {
                    String attempt = "order-" + name + "-" + sent;
                    sent++;
                    record.line("sent " + attempt);
                    socket.getOutputStream().write(Site.request("POST", "/order/flag", attempt, 0, "Deadline-Ms: 4000"));
                    Http.Message answer = in.readAnswer(false);
                    String outcome = answer == null ? "closed" : String.valueOf(answer.status());
                    record.line("answered " + attempt + " " + outcome);
                    answers.merge(outcome, 1, Integer::sum);
                    if (answer == null) {
                        break;
                    }
                    Thread.sleep(160);
                }
            } catch (IOException | InterruptedException e) {
                record.line("caller " + name + ": " + e);
            }
        }
    }
}
