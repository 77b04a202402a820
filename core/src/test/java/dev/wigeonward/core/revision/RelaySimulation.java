package dev.wigeonward.core.revision;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Simulation of a random graph of relays whose messages are lost, delayed, duplicated and reordered, with restarts,
 * faulty peers and a store that sometimes returns an old head. Faulty peers report wrong hashes and send corrupted
 * texts. Forged revisions with a matching hash are not simulated, since a process that receives no other report cannot
 * distinguish them from accepted revisions.
 */
final class RelaySimulation {
    private static final int FAULTY_STEPS = 600;
    private static final int FAULT_FREE_ROUNDS = 30;
    private static final long STEP_MILLIS = 40;
    private static final int READERS = 2;

    private final AdoptionRules rules;
    private final boolean timersEnabled;
    private final RandomGenerator random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Message> inFlight = new ArrayList<>();
    private final TreeMap<Long, Revision> accepted = new TreeMap<>();
    private Optional<String> violation = Optional.empty();
    private long nowMillis;

    private record Message(int to, RelayEvent event) {}

    private final class Node {
        private final int id;
        private final Set<Integer> links = new HashSet<>();
        private RevisionRelay relay;
        private long highestNumber;

        private Node(int id) {
            this.id = id;
            restart();
        }

        private void restart() {
            relay = RevisionRelay.withRules(rules, RevisionLog.withRules(rules, 4, 1_000_000), random);
            highestNumber = 0;
        }

        private void handle(RelayEvent event) {
            for (RelayEffect effect : relay.handle(event, nowMillis)) {
                perform(this, effect);
            }
            relay.current().ifPresent(revision -> {
                if (revision.number() < highestNumber) {
                    violation = Optional.of("number went down to " + revision.number());
                }
                highestNumber = revision.number();
                Revision original = accepted.get(revision.number());
                if (original == null || !original.text().equals(revision.text())) {
                    violation = Optional.of("text in force was never accepted as " + revision.number());
                }
            });
        }
    }

    private RelaySimulation(AdoptionRules rules, boolean timersEnabled, long seed) {
        this.rules = rules;
        this.timersEnabled = timersEnabled;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Runs a simulation and returns a violated invariant, or empty if all hold. */
    static Optional<String> run(AdoptionRules rules, boolean timersEnabled, long seed) {
        RelaySimulation simulation = new RelaySimulation(rules, timersEnabled, seed);
        simulation.build();
        for (int step = 0; step < FAULTY_STEPS && simulation.violation.isEmpty(); step++) {
            simulation.faultyStep();
        }
        return simulation.violation.or(simulation::checkConvergence);
    }

    private void build() {
        int size = 3 + random.nextInt(8);
        for (int id = 0; id < size; id++) {
            nodes.add(new Node(id));
        }
        for (int id = 0; id < size; id++) {
            connect(nodes.get(id), nodes.get((id + 1) % size));
            connect(nodes.get(id), nodes.get(random.nextInt(size)));
        }
        acceptNextRevision();
    }

    private void connect(Node left, Node right) {
        if (left != right && left.links.add(right.id)) {
            right.links.add(left.id);
            left.handle(new RelayEvent.LinkUp(name(right.id)));
            right.handle(new RelayEvent.LinkUp(name(left.id)));
        }
    }

    private void disconnect(Node left, Node right) {
        if (left.links.remove(right.id)) {
            right.links.remove(left.id);
            left.handle(new RelayEvent.LinkDown(name(right.id)));
            right.handle(new RelayEvent.LinkDown(name(left.id)));
        }
    }

    private void acceptNextRevision() {
        long number = accepted.isEmpty() ? 1 : accepted.lastKey() + 1;
        StringBuilder text = new StringBuilder(
                accepted.isEmpty() ? "" : accepted.lastEntry().getValue().text());
        text.insert(0, "rule " + number + " " + random.nextInt(100) + "\n");
        accepted.put(number, Revision.of(number, text.toString(), "ana", "test"));
    }

    private void faultyStep() {
        nowMillis += random.nextLong(STEP_MILLIS);
        Node node = nodes.get(random.nextInt(nodes.size()));
        Node other = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(20)) {
            case 0 -> acceptNextRevision();
            case 1 -> readStore(nodes.get(random.nextInt(READERS)), random.nextInt(4) == 0);
            case 2 -> connect(node, other);
            case 3 -> disconnect(node, other);
            case 4 -> restart(node);
            case 5 -> sendFalseOffer(node);
            case 6, 7 -> tick(node);
            case 8, 9 -> heartbeat(node);
            default -> deliverRandomMessage();
        }
    }

    private void readStore(Node node, boolean oldHead) {
        Revision head = oldHead
                ? accepted.firstEntry().getValue()
                : accepted.lastEntry().getValue();
        StoredRevision stored = new StoredRevision(head, "id-" + head.number(), 0);
        node.handle(new RelayEvent.StoreReadCompleted(new RevisionStore.HeadResult.Found(stored)));
    }

    private void restart(Node node) {
        Set<Integer> links = Set.copyOf(node.links);
        links.forEach(link -> disconnect(node, nodes.get(link)));
        node.restart();
        links.forEach(link -> connect(node, nodes.get(link)));
    }

    private void sendFalseOffer(Node node) {
        long number = accepted.lastKey() + random.nextInt(3) - 1;
        String hash = "f".repeat(63) + random.nextInt(3);
        node.links.forEach(
                link -> inFlight.add(new Message(link, new RelayEvent.OfferArrived(name(node.id), number, hash))));
    }

    private void tick(Node node) {
        if (timersEnabled) {
            node.handle(new RelayEvent.Tick());
        }
    }

    private void heartbeat(Node node) {
        long number = node.relay.current().map(Revision::number).orElse(0L);
        String hash = node.relay.current().map(Revision::hash).orElse("");
        node.links.forEach(link -> inFlight.add(new Message(
                link, new RelayEvent.HeartbeatArrived(name(node.id), number, random.nextBoolean() ? hash : ""))));
    }

    /** Takes a random message and delivers it; some are dropped, delivered again later or corrupted. */
    private void deliverRandomMessage() {
        if (inFlight.isEmpty()) {
            return;
        }
        Message message = inFlight.remove(random.nextInt(inFlight.size()));
        int fault = random.nextInt(20);
        if (fault < 2) {
            return;
        }
        if (fault < 5) {
            inFlight.add(message);
        }
        nodes.get(message.to()).handle(fault == 5 ? corrupt(message.event()) : message.event());
    }

    private static RelayEvent corrupt(RelayEvent event) {
        if (event instanceof RelayEvent.SnapshotPartArrived arrived) {
            SnapshotPart part = arrived.part();
            byte[] data = part.data().clone();
            data[data.length / 2] ^= 1;
            return new RelayEvent.SnapshotPartArrived(
                    arrived.peer(),
                    new SnapshotPart(part.number(), part.hash(), part.offsetBytes(), part.totalBytes(), data));
        }
        if (event instanceof RelayEvent.DeltaArrived arrived) {
            RevisionDelta delta = arrived.delta();
            List<RevisionDelta.Edit> edits = List.of(new RevisionDelta.Edit(0, 0, List.of("damaged")));
            return new RelayEvent.DeltaArrived(
                    arrived.peer(),
                    new RevisionDelta(delta.fromNumber(), delta.fromHash(), delta.toNumber(), delta.toHash(), edits));
        }
        return event;
    }

    /** Runs without faults and returns a violation if a relay does not reach the last accepted revision. */
    private Optional<String> checkConvergence() {
        for (int round = 0; round < FAULT_FREE_ROUNDS && violation.isEmpty(); round++) {
            nowMillis += 1_000;
            for (int id = 0; id < nodes.size(); id++) {
                connect(nodes.get(id), nodes.get((id + 1) % nodes.size()));
                tick(nodes.get(id));
                if (timersEnabled) {
                    heartbeat(nodes.get(id));
                }
            }
            nodes.subList(0, READERS).forEach(node -> readStore(node, false));
            while (!inFlight.isEmpty()) {
                Message message = inFlight.remove(0);
                nodes.get(message.to()).handle(message.event());
            }
        }
        long behind = nodes.stream()
                .filter(node -> node.highestNumber != accepted.lastKey())
                .count();
        return violation.or(() -> behind == 0 ? Optional.empty() : Optional.of(behind + " relays did not converge"));
    }

    private void perform(Node from, RelayEffect effect) {
        String self = name(from.id);
        if (effect instanceof RelayEffect.SendOffer offer) {
            send(from, offer.peer(), new RelayEvent.OfferArrived(self, offer.number(), offer.hash()));
        } else if (effect instanceof RelayEffect.SendRequest request) {
            send(from, request.peer(), new RelayEvent.RequestArrived(self, request.baseNumber(), request.baseHash()));
        } else if (effect instanceof RelayEffect.SendDelta delta) {
            send(from, delta.peer(), new RelayEvent.DeltaArrived(self, delta.delta()));
        } else if (effect instanceof RelayEffect.SendSnapshotPart part) {
            send(from, part.peer(), new RelayEvent.SnapshotPartArrived(self, part.part()));
        }
    }

    private void send(Node from, String peer, RelayEvent event) {
        int to = Integer.parseInt(peer);
        if (from.links.contains(to)) {
            inFlight.add(new Message(to, event));
        }
    }

    private static String name(int id) {
        return Integer.toString(id);
    }
}
