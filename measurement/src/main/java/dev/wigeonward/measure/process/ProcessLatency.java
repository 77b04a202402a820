package dev.wigeonward.measure.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import dev.wigeonward.standins.load.LoadRun;
import dev.wigeonward.standins.local.LocalDeployment;
import dev.wigeonward.standins.local.LocalUpstream;

/**
 * Latency that entry and agent add over calling the engine stand-in directly, in one run, at the size of the smaller
 * deployment: eight engines, three plain services, three entries, each a process.
 */
public final class ProcessLatency implements Measurement {
    private static final int ENGINES = 8;
    private static final int SERVICES = 3;
    private static final int ENTRIES = 3;
    private static final int SLOTS = 64;
    private static final int DECODE_TOKENS_PER_SECOND = 2_000;
    /** Lets the compilers of all eleven agents see enough requests; 4,000 left the first round 1 ms slower. */
    private static final int WARM_UP_REQUESTS = 24_000;

    private static final double WARM_UP_PER_SECOND = 800;
    private static final int REQUESTS = 6_000;
    private static final double REQUESTS_PER_SECOND = 300;
    private static final int ROUNDS = 3;
    private static final int[] OUTPUT_TOKENS = {10, 20, 40};
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;

    @Override
    public String name() {
        return "process-latency";
    }

    @Override
    public String description() {
        return "latency through entry and agent processes against direct calls to the engine stand-in, ms";
    }

    @Override
    public Report run(long seed) {
        try {
            Path directory = Files.createTempDirectory("process-latency");
            Path root = Path.of("").toAbsolutePath();
            List<LocalUpstream> upstreams = new ArrayList<>();
            for (int number = 1; number <= ENGINES; number++) {
                upstreams.add(LocalUpstream.engine("engine-" + number, "advisory", SLOTS, DECODE_TOKENS_PER_SECOND));
            }
            for (int number = 1; number <= SERVICES; number++) {
                upstreams.add(LocalUpstream.service("flags-" + number, "flags", 1));
            }
            Path rules = root.resolve("examples/kopsu.rules");
            try (LocalDeployment deployment = LocalDeployment.start(root, directory, rules, upstreams, ENTRIES)) {
                return measure(deployment, new SplittableRandom(seed));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private static Report measure(LocalDeployment deployment, SplittableRandom random) throws InterruptedException {
        List<String> engines = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            engines.add(deployment.address("engine-" + number));
        }
        List<String> entries = new ArrayList<>();
        for (int number = 1; number <= ENTRIES; number++) {
            entries.add(deployment.address("entry-" + number));
        }
        List<List<String>> rows = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        boolean valid = true;
        try (LoadRun direct = new LoadRun(engines, Map.of());
                LoadRun through = new LoadRun(entries, Map.of("authorization", "Bearer kopsu-demo-rescue"))) {
            through.chats(WARM_UP_REQUESTS, WARM_UP_PER_SECOND, OUTPUT_TOKENS, random.split());
            direct.chats(WARM_UP_REQUESTS, WARM_UP_PER_SECOND, OUTPUT_TOKENS, random.split());
            for (int round = 1; round <= ROUNDS; round++) {
                SplittableRandom same = random.split();
                long seed = same.nextLong();
                LoadRun.Outcome base =
                        direct.chats(REQUESTS, REQUESTS_PER_SECOND, OUTPUT_TOKENS, new SplittableRandom(seed));
                LoadRun.Outcome whole =
                        through.chats(REQUESTS, REQUESTS_PER_SECOND, OUTPUT_TOKENS, new SplittableRandom(seed));
                rows.add(row(round, "direct", base));
                rows.add(row(round, "entry and agent", whole));
                valid &= base.complete() && whole.complete() && base.failures() == 0;
                notes.add("round %d adds %s ms at the median and %s ms at the 99th percentile (targets 1 and 5)"
                        .formatted(round, added(base, whole, MEDIAN), added(base, whole, HIGH)));
            }
        }
        notes.add("%d engines, %d plain services, %d entries, %d agents; load generator on the same machine"
                .formatted(ENGINES, SERVICES, ENTRIES, ENGINES + SERVICES));
        return new Report(
                List.of("round", "path", "median ms", "99th percentile ms", "failures", "requests/s"),
                rows,
                notes,
                valid,
                List.of());
    }

    private static List<String> row(int round, String path, LoadRun.Outcome outcome) {
        return List.of(
                Integer.toString(round),
                path,
                millis(outcome.micros().getValueAtPercentile(MEDIAN)),
                millis(outcome.micros().getValueAtPercentile(HIGH)),
                Integer.toString(outcome.failures()),
                String.format(Locale.ROOT, "%.0f", outcome.achievedPerSecond()));
    }

    private static String added(LoadRun.Outcome base, LoadRun.Outcome whole, double percentile) {
        return millis(
                whole.micros().getValueAtPercentile(percentile) - base.micros().getValueAtPercentile(percentile));
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.2f", micros / MICROS_PER_MILLI);
    }
}
