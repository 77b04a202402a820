package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;

import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import dev.wigeonward.core.suspect.SuspectFact;
import dev.wigeonward.core.suspect.SuspectPartListener;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.core.suspect.UpstreamCrash;
import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;
import org.openjdk.jol.info.GraphLayout;

/** Measures the heap that each part of an entry's state takes. */
public final class StateSizeMeasurement implements Measurement {
    private static final List<String> COLUMNS = List.of("state", "count", "bytes", "bytes each");

    @Override
    public String name() {
        return "state-bytes";
    }

    @Override
    public String description() {
        return "bytes of heap of an entry's state, by object layout";
    }

    @Override
    public Report run(long seed) {
        // Without these properties JOL starts a second JVM to attach to this one, and cannot read records.
        System.setProperty("jol.skipDynamicAttach", "true");
        System.setProperty("jol.skipHotspotSAAttach", "true");
        System.setProperty("jol.magicFieldOffset", "true");
        List<List<String>> rows = new ArrayList<>();
        rows.add(row("upstream in a pool, with its description", 10_000, count -> DecisionState.create(
                        Math.max(1, count), false, seed)
                .pool()));
        rows.add(row("workspace in the queue, one request each", 2_500, StateSizeMeasurement::queue));
        rows.add(row("request in flight, what the cores hold", 10_000, StateSizeMeasurement::requests));
        rows.add(row("prefix, each at one upstream", PrefixIndex.MAX_TOTAL, StateSizeMeasurement::distinctPrefixes));
        rows.add(row("prefix shared by 64 upstreams", PrefixIndex.MAX_TOTAL, StateSizeMeasurement::sharedPrefixes));
        rows.add(row(
                "suspect fingerprint with two deaths", SuspectTable.MAX_FINGERPRINTS, StateSizeMeasurement::suspects));
        rows.add(row(
                "suspect part of prompts with two crashes",
                SuspectPartTable.MAX_PARTS,
                StateSizeMeasurement::suspectParts));
        return new Report(
                COLUMNS,
                rows,
                List.of(
                        "bytes each is the growth from an empty state, over the count",
                        "the queue is FairShareAdmissionQueue; a request in flight is its RequestSpec with its strings,"
                                + " without bodies, connections and the dispatcher's own record"),
                true,
                List.of());
    }

    /** Returns the row of a state that {@code factory} creates for a number of elements. */
    private static List<String> row(String state, int count, IntFunction<Object> factory) {
        long emptyBytes = GraphLayout.parseInstance(factory.apply(0)).totalSize();
        long fullBytes = GraphLayout.parseInstance(factory.apply(count)).totalSize();
        return List.of(
                state,
                Integer.toString(count),
                Long.toString(fullBytes),
                String.format(Locale.ROOT, "%.0f", (double) (fullBytes - emptyBytes) / count));
    }

    private static Object queue(int count) {
        FairShareAdmissionQueue queue = FairShareAdmissionQueue.create(Math.max(1, count), WorkspaceWeights.equal());
        for (int number = 0; number < count; number++) {
            queue.offer(request(number), 1_000, 0);
        }
        return queue;
    }

    private static Object requests(int count) {
        List<RequestSpec> requests = new ArrayList<>(count);
        for (int number = 0; number < count; number++) {
            requests.add(request(number));
        }
        return requests;
    }

    private static Object distinctPrefixes(int count) {
        PrefixIndex index = PrefixIndex.create();
        for (int number = 0; number < count; number++) {
            index.onPlaced("upstream-" + number % 64, number);
        }
        return index;
    }

    private static Object sharedPrefixes(int count) {
        PrefixIndex index = PrefixIndex.create();
        for (int number = 0; number < count; number++) {
            index.onPlaced("upstream-" + number % 64, number / 64);
        }
        return index;
    }

    private static Object suspectParts(int count) {
        SuspectPartTable table = SuspectPartTable.create(SuspectPartListener.NONE);
        for (long part = 0; part < count; part++) {
            for (int crash = 0; crash < 2; crash++) {
                UpstreamCrash ended = new UpstreamCrash("upstream-" + crash + "/" + part, part, 0);
                table.onUpstreamCrashed(List.of(part), "v1", ended, 0);
            }
        }
        return table;
    }

    private static Object suspects(int count) {
        SuspectTable table = SuspectTable.create();
        for (int number = 0; number < count; number++) {
            table.merge(new SuspectFact(number, Set.of("upstream-1/" + number, "upstream-2/" + number)), 0);
        }
        return table;
    }

    private static RequestSpec request(int number) {
        return new RequestSpec(
                RequestId.of("entry-1", 1, number),
                Optional.of("key-" + number),
                Tier.STANDARD,
                "workspace-" + number,
                "model",
                "chat",
                new WorkEstimate(500, 50, number),
                60_000,
                true,
                number);
    }
}
