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
import dev.wigeonward.standins.load.LoadGenerator;
import dev.wigeonward.standins.local.LocalDeployment;
import dev.wigeonward.standins.local.LocalUpstream;

/**
 * Measures the latency that entry and agent add to direct calls of the engine stand-in. The measurement has the size of
 * the smaller deployment: eight engines, three plain services and three entries, each a process.
 */
public final class ProcessLatencyMeasurement implements Measurement {
    private static final int ENGINES = 8;
    private static final int SERVICES = 3;
    private static final int ENTRIES = 3;
    private static final int SLOTS = 64;
    private static final int DECODE_TOKENS_PER_SECOND = 2_000;
    /**
     * Enough requests for the JIT compilers of all eleven agents; after 4,000 requests, the first measured round was 1
     * ms slower.
     */
    private static final int WARM_UP_REQUESTS = 24_000;

    private static final double WARM_UP_REQUESTS_PER_SECOND = 800;
    private static final int REQUESTS = 6_000;
    private static final double REQUESTS_PER_SECOND = 300;
    private static final int ROUNDS = 3;
    private static final int[] OUTPUT_TOKENS = {10, 20, 40};
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 99;

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
            throw new IllegalStateException("interrupted while measuring process latency", e);
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
        try (LoadGenerator direct = new LoadGenerator(engines, Map.of());
                LoadGenerator viaEntries =
                        new LoadGenerator(entries, Map.of("authorization", "Bearer kopsu-demo-rescue"))) {
            viaEntries.runChats(WARM_UP_REQUESTS, WARM_UP_REQUESTS_PER_SECOND, OUTPUT_TOKENS, random.split());
            direct.runChats(WARM_UP_REQUESTS, WARM_UP_REQUESTS_PER_SECOND, OUTPUT_TOKENS, random.split());
            for (int round = 1; round <= ROUNDS; round++) {
                SplittableRandom roundRandom = random.split();
                long seed = roundRandom.nextLong();
                LoadGenerator.Outcome directOutcome =
                        direct.runChats(REQUESTS, REQUESTS_PER_SECOND, OUTPUT_TOKENS, new SplittableRandom(seed));
                LoadGenerator.Outcome entryOutcome =
                        viaEntries.runChats(REQUESTS, REQUESTS_PER_SECOND, OUTPUT_TOKENS, new SplittableRandom(seed));
                rows.add(row(round, "direct", directOutcome));
                rows.add(row(round, "entry and agent", entryOutcome));
                valid &= directOutcome.complete() && entryOutcome.complete() && directOutcome.failures() == 0;
                notes.add("round %d adds %s ms at the median and %s ms at the 99th percentile (targets 1 and 5)"
                        .formatted(
                                round,
                                addedMillis(directOutcome, entryOutcome, MEDIAN_PERCENTILE),
                                addedMillis(directOutcome, entryOutcome, HIGH_PERCENTILE)));
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

    private static List<String> row(int round, String path, LoadGenerator.Outcome outcome) {
        return List.of(
                Integer.toString(round),
                path,
                formatMillis(outcome.micros().getValueAtPercentile(MEDIAN_PERCENTILE)),
                formatMillis(outcome.micros().getValueAtPercentile(HIGH_PERCENTILE)),
                Integer.toString(outcome.failures()),
                String.format(Locale.ROOT, "%.0f", outcome.achievedPerSecond()));
    }

    private static String addedMillis(
            LoadGenerator.Outcome directOutcome, LoadGenerator.Outcome entryOutcome, double percentile) {
        return formatMillis(entryOutcome.micros().getValueAtPercentile(percentile)
                - directOutcome.micros().getValueAtPercentile(percentile));
    }

    private static String formatMillis(long micros) {
        return String.format(Locale.ROOT, "%.2f", micros / MICROS_PER_MILLI);
    }
}
