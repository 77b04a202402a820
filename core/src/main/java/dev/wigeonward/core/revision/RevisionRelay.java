package dev.wigeonward.core.revision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * State machine that decides which revision is in force in one process and propagates revisions over the links. A
 * number for which peers report different hashes is disputed: operators are told of the conflict, and the number is not
 * adopted from peers until the store returns it or a higher number replaces it. Not thread-safe.
 */
public final class RevisionRelay {
    /**
     * Time without the first answer after which the request is sent to another peer. With 2,000 ms and 10% frame loss,
     * the slowest of 11,400 processes took 9.2 s instead of 6 s.
     */
    static final long ANSWER_TIMEOUT_MILLIS = 500;

    /**
     * Time between two parts of a text after which another peer is asked; a part of 256 KiB may be slow on a busy link.
     */
    static final long PART_TIMEOUT_MILLIS = 2_000;

    // Long enough to ask another peer, short enough that one lost answer does not use up the 6 s for propagation.
    private static final long FAILED_FETCH_EXCLUSION_MILLIS = 1_000;
    // A peer that sent a corrupt text is unlikely to have a correct one soon.
    private static final long MISMATCH_EXCLUSION_MILLIS = 10_000;
    // A larger delta saves little compared with the full text, and would leave no room for other frames on the link.
    private static final long MAX_DELTA_BYTES = SnapshotPart.PART_BYTES;
    // Limits the memory that a faulty peer can occupy by reporting many different numbers.
    private static final int MAX_REPORTED_CONFLICTS = 64;
    private static final String STORE = "store";

    private final AdoptionRules rules;
    private final RevisionLog log;
    private final RandomGenerator random;
    private final PeerRevisions peerRevisions = new PeerRevisions();
    private final TreeMap<Long, Set<String>> reportedConflicts = new TreeMap<>();
    private final List<RelayEffect> effects = new ArrayList<>();
    private Optional<Fetch> fetch = Optional.empty();
    /** Whether the next request asks for the full text, because a delta to the revision in force gave a wrong text. */
    private boolean fullTextRequired;
    /** Store number of the last reported regression, so that repeated reads do not report it again. */
    private long reportedStoreNumber = Long.MAX_VALUE;

    /** A request to a peer whose answer is not complete. */
    private static final class Fetch {
        private final String peer;
        private final long number;
        private long progressMillis;
        private Optional<SnapshotAssembly> assembly = Optional.empty();

        private Fetch(String peer, long number, long nowMillis) {
            this.peer = peer;
            this.number = number;
            this.progressMillis = nowMillis;
        }
    }

    private RevisionRelay(AdoptionRules rules, RevisionLog log, RandomGenerator random) {
        this.rules = rules;
        this.log = log;
        this.random = random;
    }

    /** Returns a relay without links that adopts revisions into the given log. */
    public static RevisionRelay create(RevisionLog log, RandomGenerator random) {
        return new RevisionRelay(AdoptionRules.STANDARD, log, random);
    }

    /** Returns a relay without links that detects disputes by the given rules. */
    static RevisionRelay withRules(AdoptionRules rules, RevisionLog log, RandomGenerator random) {
        return new RevisionRelay(rules, log, random);
    }

    /** Handles an event and returns the resulting actions in the order in which to perform them. */
    public List<RelayEffect> handle(RelayEvent event, long nowMillis) {
        if (event instanceof RelayEvent.LinkUp up) {
            peerRevisions.linkUp(up.peer());
            log.current().ifPresent(current -> effects.add(offer(up.peer(), current)));
        } else if (event instanceof RelayEvent.LinkDown down) {
            peerRevisions.linkDown(down.peer());
            fetch = fetch.filter(pending -> !pending.peer.equals(down.peer()));
        } else if (event instanceof RelayEvent.HeartbeatArrived heartbeat) {
            recordPeerRevision(heartbeat.peer(), heartbeat.number(), heartbeat.hash());
        } else if (event instanceof RelayEvent.OfferArrived offered) {
            recordPeerRevision(offered.peer(), offered.number(), offered.hash());
        } else if (event instanceof RelayEvent.RequestArrived requested) {
            answerRequest(requested);
        } else if (event instanceof RelayEvent.DeltaArrived arrived) {
            receiveDelta(arrived.peer(), arrived.delta(), nowMillis);
        } else if (event instanceof RelayEvent.SnapshotPartArrived arrived) {
            receivePart(arrived.peer(), arrived.part(), nowMillis);
        } else if (event instanceof RelayEvent.StoreReadCompleted read) {
            receiveStoreRead(read.result());
        }
        expireTimeouts(nowMillis);
        startFetch(nowMillis);
        List<RelayEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }

    private void recordPeerRevision(String peer, long number, String hash) {
        peerRevisions.put(peer, number, hash);
        reportIfDisputed(number);
    }

    /** Returns whether peers report different hashes for the number; adds a conflict effect if one of them is new. */
    private boolean reportIfDisputed(long number) {
        Set<String> hashes = peerRevisions.hashesOf(number);
        log.current().filter(current -> current.number() == number).ifPresent(current -> hashes.add(current.hash()));
        if (!rules.isDisputed(hashes.size())) {
            return false;
        }
        reportConflict(number, hashes);
        return true;
    }

    private void reportConflict(long number, Set<String> hashes) {
        if (reportedConflicts.getOrDefault(number, Set.of()).containsAll(hashes)) {
            return;
        }
        reportedConflicts.computeIfAbsent(number, key -> new HashSet<>()).addAll(hashes);
        if (reportedConflicts.size() > MAX_REPORTED_CONFLICTS) {
            reportedConflicts.pollFirstEntry();
        }
        effects.add(new RelayEffect.ReportConflict(number, hashes));
    }

    private void answerRequest(RelayEvent.RequestArrived requested) {
        if (log.number() == 0 || requested.baseNumber() >= log.number()) {
            return;
        }
        Revision current = log.current().orElseThrow();
        Optional<RevisionDelta> delta = log.deltaFrom(requested.baseNumber(), requested.baseHash())
                .filter(candidate -> candidate.sizeBytes()
                        <= Math.min(MAX_DELTA_BYTES, current.text().length()));
        if (delta.isPresent()) {
            effects.add(new RelayEffect.SendDelta(requested.peer(), delta.get()));
            return;
        }
        SnapshotPart.partsOf(current)
                .forEach(part -> effects.add(new RelayEffect.SendSnapshotPart(requested.peer(), part)));
    }

    private void receiveDelta(String peer, RevisionDelta delta, long nowMillis) {
        // An answer that arrives after its request timed out is still used: the delta verifies its base and its result.
        if (!peerRevisions.isLinked(peer) || delta.toNumber() <= log.number()) {
            return;
        }
        fetch = fetch.filter(pending -> !pending.peer.equals(peer));
        recordPeerRevision(peer, delta.toNumber(), delta.toHash());
        Optional<Revision> revision = log.current().flatMap(delta::apply);
        if (revision.isPresent()) {
            adoptFromPeer(peer, revision.get(), nowMillis);
        } else if (delta.fromNumber() == log.number() && delta.fromHash().equals(log.hash())) {
            fullTextRequired = true;
            reportMismatch(peer, delta.toNumber(), nowMillis);
        } else {
            peerRevisions.markFailed(peer, nowMillis + FAILED_FETCH_EXCLUSION_MILLIS);
        }
    }

    private void reportMismatch(String peer, long number, long nowMillis) {
        effects.add(new RelayEffect.ReportHashMismatch(peer, number));
        peerRevisions.markFailed(peer, nowMillis + MISMATCH_EXCLUSION_MILLIS);
    }

    private void receivePart(String peer, SnapshotPart part, long nowMillis) {
        if (fetch.isEmpty() || !fetch.get().peer.equals(peer) || part.number() <= log.number()) {
            return;
        }
        Fetch pending = fetch.get();
        if (pending.assembly.isEmpty() || !pending.assembly.get().matches(part)) {
            pending.assembly = SnapshotAssembly.forPart(part);
        }
        pending.progressMillis = nowMillis;
        pending.assembly.ifPresent(assembly -> assembly.add(part));
        pending.assembly.flatMap(SnapshotAssembly::toRevision).ifPresent(revision -> {
            fetch = Optional.empty();
            recordPeerRevision(peer, revision.number(), revision.hash());
            adoptFromPeer(peer, revision, nowMillis);
        });
    }

    private void adoptFromPeer(String peer, Revision revision, long nowMillis) {
        if (reportIfDisputed(revision.number())) {
            return;
        }
        if (adopt(revision) instanceof AdoptionResult.HashMismatch) {
            reportMismatch(peer, revision.number(), nowMillis);
        }
    }

    private AdoptionResult adopt(Revision revision) {
        AdoptionResult result = log.adopt(revision);
        if (result instanceof AdoptionResult.Adopted) {
            fetch = fetch.filter(pending -> pending.number > revision.number());
            reportedConflicts.headMap(revision.number()).clear();
            reportedStoreNumber = Long.MAX_VALUE;
            fullTextRequired = false;
            effects.add(new RelayEffect.Adopt(revision));
            peerRevisions.peersBelow(revision.number()).forEach(peer -> effects.add(offer(peer, revision)));
        } else if (result instanceof AdoptionResult.DifferentHash other) {
            reportConflict(revision.number(), Set.of(revision.hash(), other.currentHash()));
        }
        return result;
    }

    private void receiveStoreRead(RevisionStore.HeadResult result) {
        if (result instanceof RevisionStore.HeadResult.Found found) {
            Revision head = found.head().revision();
            if (adopt(head) instanceof AdoptionResult.HashMismatch) {
                effects.add(new RelayEffect.ReportHashMismatch(STORE, head.number()));
            }
            reportStoreRegression(head.number());
        } else if (result instanceof RevisionStore.HeadResult.Empty) {
            reportStoreRegression(0);
        }
    }

    private void reportStoreRegression(long storeNumber) {
        if (storeNumber < log.number() && storeNumber != reportedStoreNumber) {
            reportedStoreNumber = storeNumber;
            effects.add(new RelayEffect.ReportStoreRegression(storeNumber, log.number()));
        }
    }

    private void expireTimeouts(long nowMillis) {
        peerRevisions.expireFailures(nowMillis);
        if (fetch.isEmpty()) {
            return;
        }
        long timeoutMillis = fetch.get().assembly.isPresent() ? PART_TIMEOUT_MILLIS : ANSWER_TIMEOUT_MILLIS;
        if (nowMillis - fetch.get().progressMillis >= timeoutMillis) {
            peerRevisions.markFailed(fetch.get().peer, nowMillis + FAILED_FETCH_EXCLUSION_MILLIS);
            fetch = Optional.empty();
        }
    }

    /** Requests the highest undisputed number above the one in force from a random peer that reports it. */
    private void startFetch(long nowMillis) {
        if (fetch.isPresent()) {
            return;
        }
        Optional<Long> highest = peerRevisions.usableNumbersAbove(log.number()).stream()
                .filter(number -> !reportIfDisputed(number))
                .max(Comparator.naturalOrder());
        if (highest.isEmpty()) {
            return;
        }
        List<String> peers = peerRevisions.usablePeersWith(highest.get());
        String peer = peers.get(random.nextInt(peers.size()));
        fetch = Optional.of(new Fetch(peer, highest.get(), nowMillis));
        effects.add(
                fullTextRequired
                        ? new RelayEffect.SendRequest(peer, 0, "")
                        : new RelayEffect.SendRequest(peer, log.number(), log.hash()));
    }

    private static RelayEffect offer(String peer, Revision revision) {
        return new RelayEffect.SendOffer(peer, revision.number(), revision.hash());
    }

    /** Returns the revision in force, or empty before the first adoption. */
    public Optional<Revision> current() {
        return log.current();
    }

    /** Returns the reported hashes of each disputed number above the one in force. */
    public Map<Long, Set<String>> disputedHashes() {
        Map<Long, Set<String>> result = new TreeMap<>();
        peerRevisions.usableNumbersAbove(log.number()).forEach(number -> {
            Set<String> hashes = peerRevisions.hashesOf(number);
            if (rules.isDisputed(hashes.size())) {
                result.put(number, Set.copyOf(hashes));
            }
        });
        return result;
    }
}
