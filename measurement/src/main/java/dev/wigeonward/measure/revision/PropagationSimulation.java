package dev.wigeonward.measure.revision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import dev.wigeonward.core.revision.ReaderElection;
import dev.wigeonward.core.revision.RelayEffect;
import dev.wigeonward.core.revision.RelayEvent;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionLog;
import dev.wigeonward.core.revision.RevisionRelay;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;

/**
 * Simulates the revision relays of the whole fleet in simulated time. Nodes with an index below {@code ENTRIES} are
 * entries, the others are agents.
 */
final class PropagationSimulation {
    static final int ENTRIES = 1_400;
    static final int AGENTS = 10_000;
    static final int LINKS_PER_AGENT = 7;
    static final int NODES = ENTRIES + AGENTS;
    static final long NOT_REACHED = Long.MAX_VALUE;
    private static final int FAILURE_DOMAINS = 11;
    private static final int TEXT_LINES = 200;
    private static final int CHANGED_LINE = 100;
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long LIMIT_MILLIS = 30_000;
    // The range covers links within a failure domain as well as links between regions.
    private static final int MIN_LATENCY_MILLIS = 1;
    private static final int MAX_LATENCY_MILLIS = 40;
    private static final String LINE_FORMAT =
            "rate workspace-%d requests=%d/s tokens=8000/s # asked by Ana (operations): trial\n";

    private final Conditions conditions;
    private final RandomGenerator random;
    private final PriorityQueue<Message> queue =
            new PriorityQueue<>(Comparator.comparingLong(Message::atMillis).thenComparingLong(Message::sequence));
    private final RevisionRelay[] relays = new RevisionRelay[NODES];
    private final List<List<Integer>> links = new ArrayList<>();
    private final long[] revisionBytes = new long[NODES];
    private final long[] reachedMillis = new long[NODES];
    private final Revision initialRevision = Revision.of(1, text(1), "ana", "measurement");
    private final Revision acceptedRevision = Revision.of(2, text(2), "ana", "measurement");
    private long sequence;
    private int reachedCount;

    /**
     * Faults and initial state of a simulation.
     *
     * @param offersDelivered whether offers of revisions arrive; if not, nodes learn of a revision only from heartbeats
     * @param lossShare share of all frames that is lost
     * @param oneReader whether only one reader reaches the store
     * @param startsEmpty whether all nodes start without a revision
     */
    record Conditions(String name, boolean offersDelivered, double lossShare, boolean oneReader, boolean startsEmpty) {}

    /** An event for a node; on a tick, the node also sends its heartbeats. */
    private record Message(long atMillis, long sequence, int to, RelayEvent event) {}

    private PropagationSimulation(Conditions conditions, long seed) {
        this.conditions = conditions;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        Arrays.fill(reachedMillis, NOT_REACHED);
    }

    /** Runs a simulation to its end and returns it. */
    static PropagationSimulation run(Conditions conditions, long seed) {
        PropagationSimulation simulation = new PropagationSimulation(conditions, seed);
        simulation.createNodes();
        simulation.runUntil(WARM_UP_MILLIS);
        Arrays.fill(simulation.revisionBytes, 0);
        simulation.scheduleAcceptedRevision();
        simulation.runUntil(WARM_UP_MILLIS + LIMIT_MILLIS);
        return simulation;
    }

    private static String text(int changedValue) {
        StringBuilder text = new StringBuilder();
        for (int line = 0; line < TEXT_LINES; line++) {
            text.append(String.format(LINE_FORMAT, line, line == CHANGED_LINE ? 1_000 + changedValue : line + 1));
        }
        return text.toString();
    }

    private void createNodes() {
        for (int node = 0; node < NODES; node++) {
            // A simulation has two revisions; keeping no more limits the memory for the texts of the whole fleet.
            relays[node] = RevisionRelay.create(RevisionLog.create(2, RevisionLog.DEFAULT_MAX_TEXT_CHARS), random);
            links.add(new ArrayList<>());
        }
        for (int agent = ENTRIES; agent < NODES; agent++) {
            while (links.get(agent).size() < LINKS_PER_AGENT) {
                int entry = random.nextInt(ENTRIES);
                if (!links.get(agent).contains(entry)) {
                    links.get(agent).add(entry);
                    links.get(entry).add(agent);
                }
            }
        }
        for (int node = 0; node < NODES; node++) {
            for (int peer : links.get(node)) {
                relays[node].handle(new RelayEvent.LinkUp(name(peer)), 0);
            }
            if (!conditions.startsEmpty()) {
                handle(node, storeRead(initialRevision), 0);
            }
            schedule(random.nextLong(HEARTBEAT_MILLIS), node, new RelayEvent.Tick());
        }
    }

    /** Schedules the arrival of the accepted revision at the readers of the store; a watch takes as long as a frame. */
    private void scheduleAcceptedRevision() {
        List<ReaderElection.LiveEntry> live = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            live.add(new ReaderElection.LiveEntry(name(entry), "domain-" + entry % FAILURE_DOMAINS));
        }
        Set<String> readers = ReaderElection.electReaders(live);
        readers.stream()
                .map(Integer::valueOf)
                .sorted()
                .limit(conditions.oneReader() ? 1 : readers.size())
                .forEach(reader -> schedule(WARM_UP_MILLIS + latencyMillis(), reader, storeRead(acceptedRevision)));
    }

    /** Delivers events in the order of their time until the end time or until all nodes have the accepted revision. */
    private void runUntil(long endMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() < endMillis && reachedCount < NODES) {
            Message message = queue.poll();
            if (message.event() instanceof RelayEvent.Tick) {
                sendHeartbeats(message.to(), message.atMillis());
            }
            handle(message.to(), message.event(), message.atMillis());
        }
    }

    private void sendHeartbeats(int node, long nowMillis) {
        long number = relays[node].current().map(Revision::number).orElse(0L);
        for (int peer : links.get(node)) {
            if (!sampleLoss()) {
                // The hash is empty because the heartbeat frame carries only the number.
                schedule(nowMillis + latencyMillis(), peer, new RelayEvent.HeartbeatArrived(name(node), number, ""));
            }
        }
        schedule(nowMillis + HEARTBEAT_MILLIS, node, new RelayEvent.Tick());
    }

    private void handle(int node, RelayEvent event, long nowMillis) {
        for (RelayEffect effect : relays[node].handle(event, nowMillis)) {
            apply(node, effect, nowMillis);
        }
    }

    private void apply(int node, RelayEffect effect, long nowMillis) {
        String self = name(node);
        if (effect instanceof RelayEffect.Adopt adopt && adopt.revision().number() == acceptedRevision.number()) {
            reachedMillis[node] = nowMillis - WARM_UP_MILLIS;
            reachedCount++;
        } else if (effect instanceof RelayEffect.SendOffer offer) {
            if (conditions.offersDelivered()) {
                send(
                        node,
                        offer.peer(),
                        effect,
                        new RelayEvent.OfferArrived(self, offer.number(), offer.hash()),
                        nowMillis);
            }
        } else if (effect instanceof RelayEffect.SendRequest request) {
            RelayEvent event = new RelayEvent.RequestArrived(self, request.baseNumber(), request.baseHash());
            send(node, request.peer(), effect, event, nowMillis);
        } else if (effect instanceof RelayEffect.SendDelta delta) {
            send(node, delta.peer(), effect, new RelayEvent.DeltaArrived(self, delta.delta()), nowMillis);
        } else if (effect instanceof RelayEffect.SendSnapshotPart part) {
            send(node, part.peer(), effect, new RelayEvent.SnapshotPartArrived(self, part.part()), nowMillis);
        }
    }

    private void send(int from, String peer, RelayEffect frame, RelayEvent event, long nowMillis) {
        int to = Integer.parseInt(peer);
        long sizeBytes = FrameSizes.of(frame);
        revisionBytes[from] += sizeBytes;
        if (!sampleLoss()) {
            revisionBytes[to] += sizeBytes;
            schedule(nowMillis + latencyMillis(), to, event);
        }
    }

    private void schedule(long atMillis, int to, RelayEvent event) {
        queue.add(new Message(atMillis, sequence++, to, event));
    }

    /** Returns whether the next frame is lost, at random. */
    private boolean sampleLoss() {
        return conditions.lossShare() > 0 && random.nextDouble() < conditions.lossShare();
    }

    private long latencyMillis() {
        return random.nextLong(MIN_LATENCY_MILLIS, MAX_LATENCY_MILLIS + 1);
    }

    private static String name(int node) {
        return Integer.toString(node);
    }

    private static RelayEvent storeRead(Revision revision) {
        return new RelayEvent.StoreReadCompleted(
                new RevisionStore.HeadResult.Found(new StoredRevision(revision, "measurement", 0)));
    }

    /**
     * Returns the times from the acceptance of the revision until each node adopted it, in milliseconds and in
     * ascending order; {@code NOT_REACHED} for a node that did not adopt it.
     */
    long[] sortedReachedMillis() {
        long[] sorted = reachedMillis.clone();
        Arrays.sort(sorted);
        return sorted;
    }

    /**
     * Returns the bytes of offers, requests, deltas and snapshots that each node sent and received since acceptance.
     */
    long[] revisionBytes() {
        return revisionBytes.clone();
    }

    /** Returns the largest number of links of an entry. */
    int maxLinksPerEntry() {
        return links.subList(0, ENTRIES).stream().mapToInt(List::size).max().orElseThrow();
    }
}
