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
 * Decides in one process which revision is in force and passes revisions on over the links. One number with different
 * hashes is reported and not adopted from peers; the store or a higher number settles it. Not thread-safe.
 */
public final class RevisionRelay {
    /**
     * Time without any answer after which another peer is asked. With 2,000 ms and 10% of frames lost the slowest of
     * 11,400 processes took 9.2 s instead of 6 s.
     */
    static final long ANSWER_TIMEOUT_MILLIS = 500;

    /** Time between the parts of a text after which another peer is asked; 256 KiB may be slow on a busy link. */
    static final long PART_TIMEOUT_MILLIS = 2_000;

    // Long enough for another peer to be asked, short enough that one lost answer does not cost the 6 s for spreading.
    private static final long SILENCE_EXCLUSION_MILLIS = 1_000;
    // A peer with a faulty text is unlikely to have a sound one soon.
    private static final long MISMATCH_EXCLUSION_MILLIS = 10_000;
    // A larger delta saves little against the whole text and would not fit beside other frames.
    private static final long MAX_DELTA_BYTES = SnapshotPart.PART_BYTES;
    // Bounds what a faulty peer that claims ever new numbers can make this process remember.
    private static final int MAX_REMEMBERED_CONFLICTS = 64;
    private static final String STORE = "store";

    private final AdoptionRules rules;
    private final RevisionLog log;
    private final RandomGenerator random;
    private final PeerClaims claims = new PeerClaims();
    private final TreeMap<Long, Set<String>> reportedConflicts = new TreeMap<>();
    private final List<RelayEffect> effects = new ArrayList<>();
    private Optional<Fetch> fetch = Optional.empty();
    private boolean wholeTextNeeded;
    private long reportedStoreNumber = Long.MAX_VALUE;

    /** A request that waits for its answer. */
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

    /** Returns a relay without links; it adopts into the log. */
    public static RevisionRelay create(RevisionLog log, RandomGenerator random) {
        return new RevisionRelay(AdoptionRules.STANDARD, log, random);
    }

    static RevisionRelay withRules(AdoptionRules rules, RevisionLog log, RandomGenerator random) {
        return new RevisionRelay(rules, log, random);
    }

    /** Returns what to do after an event, in this order. */
    public List<RelayEffect> handle(RelayEvent event, long nowMillis) {
        if (event instanceof RelayEvent.LinkUp up) {
            claims.linkUp(up.peer());
            log.current().ifPresent(current -> effects.add(offer(up.peer(), current)));
        } else if (event instanceof RelayEvent.LinkDown down) {
            claims.linkDown(down.peer());
            fetch = fetch.filter(running -> !running.peer.equals(down.peer()));
        } else if (event instanceof RelayEvent.PeerHeartbeat heartbeat) {
            learn(heartbeat.peer(), heartbeat.number(), heartbeat.hash());
        } else if (event instanceof RelayEvent.Offered offered) {
            learn(offered.peer(), offered.number(), offered.hash());
        } else if (event instanceof RelayEvent.Requested requested) {
            answer(requested);
        } else if (event instanceof RelayEvent.DeltaArrived arrived) {
            receiveDelta(arrived.peer(), arrived.delta(), nowMillis);
        } else if (event instanceof RelayEvent.SnapshotPartArrived arrived) {
            receivePart(arrived.peer(), arrived.part(), nowMillis);
        } else if (event instanceof RelayEvent.StoreRead read) {
            receiveStoreRead(read.result());
        }
        expire(nowMillis);
        startFetch(nowMillis);
        List<RelayEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }

    private void learn(String peer, long number, String hash) {
        claims.put(peer, number, hash);
        reportIfDisputed(number);
    }

    private boolean reportIfDisputed(long number) {
        Set<String> hashes = claims.hashesOf(number);
        log.current().filter(current -> current.number() == number).ifPresent(current -> hashes.add(current.hash()));
        if (!rules.isDisputed(hashes.size())) {
            return false;
        }
        report(number, hashes);
        return true;
    }

    private void report(long number, Set<String> hashes) {
        if (reportedConflicts.getOrDefault(number, Set.of()).containsAll(hashes)) {
            return;
        }
        reportedConflicts.computeIfAbsent(number, key -> new HashSet<>()).addAll(hashes);
        if (reportedConflicts.size() > MAX_REMEMBERED_CONFLICTS) {
            reportedConflicts.pollFirstEntry();
        }
        effects.add(new RelayEffect.ReportConflict(number, hashes));
    }

    private void answer(RelayEvent.Requested requested) {
        if (log.number() == 0 || requested.haveNumber() >= log.number()) {
            return;
        }
        Revision current = log.current().orElseThrow();
        Optional<RevisionDelta> delta = log.deltaFrom(requested.haveNumber(), requested.haveHash())
                .filter(made -> made.sizeBytes()
                        <= Math.min(MAX_DELTA_BYTES, current.text().length()));
        if (delta.isPresent()) {
            effects.add(new RelayEffect.SendDelta(requested.peer(), delta.get()));
            return;
        }
        SnapshotPart.partsOf(current)
                .forEach(part -> effects.add(new RelayEffect.SendSnapshotPart(requested.peer(), part)));
    }

    private void receiveDelta(String peer, RevisionDelta delta, long nowMillis) {
        // A late answer to a request that was given up still counts; the delta checks its base and its hash.
        if (!claims.isLinked(peer) || delta.toNumber() <= log.number()) {
            return;
        }
        fetch = fetch.filter(running -> !running.peer.equals(peer));
        learn(peer, delta.toNumber(), delta.toHash());
        Optional<Revision> revision = log.current().flatMap(delta::apply);
        if (revision.isPresent()) {
            adoptFromPeer(peer, revision.get(), nowMillis);
        } else if (delta.fromNumber() == log.number() && delta.fromHash().equals(log.hash())) {
            wholeTextNeeded = true;
            rejectFrom(peer, delta.toNumber(), nowMillis);
        } else {
            claims.markFailed(peer, nowMillis + SILENCE_EXCLUSION_MILLIS);
        }
    }

    private void rejectFrom(String peer, long number, long nowMillis) {
        effects.add(new RelayEffect.ReportHashMismatch(peer, number));
        claims.markFailed(peer, nowMillis + MISMATCH_EXCLUSION_MILLIS);
    }

    private void receivePart(String peer, SnapshotPart part, long nowMillis) {
        if (fetch.isEmpty() || !fetch.get().peer.equals(peer) || part.number() <= log.number()) {
            return;
        }
        Fetch running = fetch.get();
        if (running.assembly.isEmpty() || !running.assembly.get().isFor(part)) {
            running.assembly = SnapshotAssembly.startedBy(part);
        }
        running.progressMillis = nowMillis;
        running.assembly.ifPresent(assembly -> assembly.add(part));
        running.assembly.flatMap(SnapshotAssembly::complete).ifPresent(revision -> {
            fetch = Optional.empty();
            learn(peer, revision.number(), revision.hash());
            adoptFromPeer(peer, revision, nowMillis);
        });
    }

    private void adoptFromPeer(String peer, Revision revision, long nowMillis) {
        if (reportIfDisputed(revision.number())) {
            return;
        }
        if (adopt(revision) instanceof AdoptionResult.HashMismatch) {
            rejectFrom(peer, revision.number(), nowMillis);
        }
    }

    private AdoptionResult adopt(Revision revision) {
        AdoptionResult result = log.adopt(revision);
        if (result instanceof AdoptionResult.Adopted) {
            fetch = fetch.filter(running -> running.number > revision.number());
            reportedConflicts.headMap(revision.number()).clear();
            reportedStoreNumber = Long.MAX_VALUE;
            wholeTextNeeded = false;
            effects.add(new RelayEffect.Adopt(revision));
            claims.peersBelow(revision.number()).forEach(peer -> effects.add(offer(peer, revision)));
        } else if (result instanceof AdoptionResult.OtherHash other) {
            report(revision.number(), Set.of(revision.hash(), other.hashInForce()));
        }
        return result;
    }

    private void receiveStoreRead(RevisionStore.HeadResult result) {
        if (result instanceof RevisionStore.HeadResult.Found found) {
            Revision head = found.head().revision();
            if (adopt(head) instanceof AdoptionResult.HashMismatch) {
                effects.add(new RelayEffect.ReportHashMismatch(STORE, head.number()));
            }
            reportRegression(head.number());
        } else if (result instanceof RevisionStore.HeadResult.Empty) {
            reportRegression(0);
        }
    }

    private void reportRegression(long storeNumber) {
        if (storeNumber < log.number() && storeNumber != reportedStoreNumber) {
            reportedStoreNumber = storeNumber;
            effects.add(new RelayEffect.ReportStoreRegression(storeNumber, log.number()));
        }
    }

    private void expire(long nowMillis) {
        claims.expireFailures(nowMillis);
        if (fetch.isEmpty()) {
            return;
        }
        long timeoutMillis = fetch.get().assembly.isPresent() ? PART_TIMEOUT_MILLIS : ANSWER_TIMEOUT_MILLIS;
        if (nowMillis - fetch.get().progressMillis >= timeoutMillis) {
            claims.markFailed(fetch.get().peer, nowMillis + SILENCE_EXCLUSION_MILLIS);
            fetch = Optional.empty();
        }
    }

    /** Asks a random peer of those with the highest number that is not disputed. */
    private void startFetch(long nowMillis) {
        if (fetch.isPresent()) {
            return;
        }
        Optional<Long> best = claims.usableNumbersAbove(log.number()).stream()
                .filter(number -> !reportIfDisputed(number))
                .max(Comparator.naturalOrder());
        if (best.isEmpty()) {
            return;
        }
        List<String> peers = claims.usablePeersWith(best.get());
        String peer = peers.get(random.nextInt(peers.size()));
        fetch = Optional.of(new Fetch(peer, best.get(), nowMillis));
        effects.add(
                wholeTextNeeded
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

    /** Returns for each disputed number above the one in force the hashes that peers claim. */
    public Map<Long, Set<String>> disputes() {
        Map<Long, Set<String>> result = new TreeMap<>();
        claims.usableNumbersAbove(log.number()).forEach(number -> {
            Set<String> hashes = claims.hashesOf(number);
            if (rules.isDisputed(hashes.size())) {
                result.put(number, Set.copyOf(hashes));
            }
        });
        return result;
    }
}
