package dev.wigeonward.core.schedule.pace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.schedule.ColdStatement;
import dev.wigeonward.core.schedule.PacePolicy;
import dev.wigeonward.core.schedule.Upstream;

/**
 * Pace of the upstreams of all services as one entry sees it. Upstreams in the first list are not paced unless a peer
 * reports that they are; upstreams that are listed later are. Not thread-safe.
 */
public final class EntryPace implements PacePolicy {
    /** Lifetimes that are kept, so that one that is listed again soon keeps its count of placements. */
    private static final int MAX_LIFETIMES = 1_000;
    /** Time for which a peer may report counts of the earlier lifetime of an upstream that kept its identifier. */
    private static final long LIST_LAG_MILLIS = 2_000;
    /** Time after the start of this entry in which it learns from peers which upstreams are paced. */
    private static final long LEARNING_MILLIS = 3_000;
    /** The same after this entry has first heard of a peer, which reports all its counts several times in that time. */
    private static final long LEARNING_FROM_PEERS_MILLIS = 1_000;

    private String own = "";
    private final long startedAtMillis;
    private final Map<String, LifetimePace> lifetimes = new LinkedHashMap<>();
    private final Map<String, Upstream> upstreamById = new HashMap<>();
    private final Map<String, Integer> peerRequests = new HashMap<>();
    private final Set<String> recoveredLifetimes = new HashSet<>();
    private final Map<String, Long> peersIgnoredUntilMillis = new HashMap<>();
    private final Map<String, EntryPart> parts = new HashMap<>();
    private final PeerPaceTable peers = new PeerPaceTable();
    private final List<PaceEvent> events = new ArrayList<>();
    private final Set<String> loggedCold = new HashSet<>();
    private Map<String, ColdService> coldServices = Map.of();
    private Set<String> others = Set.of();
    private Predicate<String> decidesForPeers = service -> false;
    private boolean paceEnabled;
    private boolean peersHeard;
    private boolean listed;
    private long learningUntilMillis;
    private long peersHeardAtMillis;
    private long limitedCount;
    private long coldLimitedCount;

    private EntryPace(long nowMillis) {
        this.startedAtMillis = nowMillis;
        this.learningUntilMillis = nowMillis + LEARNING_MILLIS;
    }

    /** Returns the pace of an entry that starts now and knows no other entry, with the pace of starts disabled. */
    public static EntryPace create(long nowMillis) {
        return new EntryPace(nowMillis);
    }

    /** Enables or disables the pace of started and recovered upstreams; the bounds of cold ones always hold. */
    public void setPaceEnabled(boolean enabled) {
        paceEnabled = enabled;
    }

    /**
     * Sets the condition under which this entry places the requests of its peers for a service as well, so that it uses
     * the whole limit of a paced upstream instead of its part.
     */
    public void setDecidesForPeers(Predicate<String> condition) {
        decidesForPeers = condition;
    }

    /** Replaces the services whose upstreams may be cold, by name. */
    public void setColdServices(Map<String, ColdService> services, long nowMillis) {
        coldServices = Map.copyOf(services);
        for (Upstream upstream : upstreamById.values()) {
            trackCold(lifetimes.get(upstream.lifetimeId()), upstream, nowMillis);
        }
    }

    private void trackCold(LifetimePace pace, Upstream upstream, long nowMillis) {
        ColdService service = coldServices.get(upstream.service());
        if (service != null && pace.coldTime().isEmpty()) {
            pace.setColdTime(Optional.of(new ColdTime(service.coldStartMillis(), nowMillis)));
        }
        pace.coldTime().ifPresent(cold -> cold.onListed(upstream.cold(), nowMillis));
    }

    /**
     * Replaces the known entries.
     *
     * @param ownEntry name of this entry
     * @param otherEntries names of the known entries without this one, heard or not
     * @param anyHeard whether any of them was heard since the start of this entry
     */
    public void setEntries(String ownEntry, Set<String> otherEntries, boolean anyHeard, long nowMillis) {
        if (anyHeard && !peersHeard) {
            peersHeard = true;
            peersHeardAtMillis = nowMillis;
            learningUntilMillis = Math.max(learningUntilMillis, nowMillis + LEARNING_FROM_PEERS_MILLIS);
        }
        if (!own.equals(ownEntry) || !others.equals(otherEntries)) {
            own = ownEntry;
            others = Set.copyOf(otherEntries);
            parts.clear();
        }
    }

    /** Replaces the counts that a peer reported for all upstreams, or for the given ones if the report is partial. */
    public void onPeerCounts(String peer, Map<String, PaceCounts> counts, boolean partial, long nowMillis) {
        peers.update(peer, counts, partial);
        if (!paceEnabled || !learning(nowMillis)) {
            return;
        }
        for (String id : counts.keySet()) {
            Upstream upstream = upstreamById.get(id);
            PaceCounts total = peers.total(id);
            if (upstream != null
                    && !total.equals(PaceCounts.NONE)
                    && PaceLimit.of(total, upstream.slots()) < upstream.slots()) {
                lifetimes.get(upstream.lifetimeId()).adoptPace();
            }
        }
    }

    /** Returns whether this entry may not know yet which of the upstreams in its first list are paced. */
    private boolean learning(long nowMillis) {
        return nowMillis < learningUntilMillis || (!others.isEmpty() && !peersHeard);
    }

    /** Discards the counts of a peer that is not heard any more. */
    public void removePeer(String peer) {
        peers.remove(peer);
    }

    /** Replaces the list of the upstreams of all services. */
    public void setUpstreams(Iterable<Upstream> newlyListed, long nowMillis) {
        Set<String> ids = new HashSet<>();
        Set<String> current = new HashSet<>();
        for (Upstream upstream : newlyListed) {
            ids.add(upstream.id());
            current.add(upstream.lifetimeId());
            onListed(upstream, nowMillis);
        }
        upstreamById.keySet().retainAll(ids);
        peersIgnoredUntilMillis.keySet().retainAll(ids);
        peerRequests.keySet().retainAll(ids);
        recoveredLifetimes.retainAll(current);
        loggedCold.retainAll(ids);
        listed = true;
        Iterator<String> oldest = lifetimes.keySet().iterator();
        while (lifetimes.size() > MAX_LIFETIMES && oldest.hasNext()) {
            if (!current.contains(oldest.next())) {
                oldest.remove();
            }
        }
        parts.keySet().retainAll(lifetimes.keySet());
    }

    private void onListed(Upstream upstream, long nowMillis) {
        String lifetimeId = upstream.lifetimeId();
        LifetimePace existing = lifetimes.get(lifetimeId);
        LifetimePace pace = existing == null ? new LifetimePace(paceEnabled && listed, nowMillis) : existing;
        lifetimes.put(lifetimeId, pace);
        Upstream previous = upstreamById.put(upstream.id(), upstream);
        trackCold(pace, upstream, nowMillis);
        if (existing != null && previous == null) {
            restart(upstream, nowMillis);
        }
        if (previous != null && !previous.lifetimeId().equals(lifetimeId)) {
            peersIgnoredUntilMillis.put(upstream.id(), nowMillis + LIST_LAG_MILLIS);
        }
    }

    /** Records what an answer of the upstream states about being cold. */
    public void onColdAnswer(Upstream upstream, ColdStatement statement, long nowMillis) {
        find(upstream).flatMap(LifetimePace::coldTime).ifPresent(cold -> cold.onAnswered(statement, nowMillis));
    }

    /** Paces an upstream anew, because it has recovered or its zone is used again after an evacuation. */
    public void restart(Upstream upstream, long nowMillis) {
        find(upstream).ifPresent(pace -> {
            if (paceEnabled) {
                pace.restart(nowMillis);
            } else {
                pace.coldTime().ifPresent(cold -> cold.assume(nowMillis));
            }
        });
    }

    private Optional<LifetimePace> find(Upstream upstream) {
        return Optional.ofNullable(lifetimes.get(upstream.lifetimeId()));
    }

    @Override
    public void setPeerRequests(String upstreamId, int requests) {
        peerRequests.put(upstreamId, requests);
    }

    @Override
    public void onRecovered(Upstream upstream) {
        recoveredLifetimes.add(upstream.lifetimeId());
    }

    @Override
    public int maxOwnRequests(Upstream upstream, int ownRequests, long nowMillis) {
        if (recoveredLifetimes.remove(upstream.lifetimeId())) {
            restart(upstream, nowMillis);
        }
        return allowed(upstream, ownRequests, peerRequests.getOrDefault(upstream.id(), 0), nowMillis);
    }

    /**
     * Returns how many requests of this entry the upstream may have now, which may be less than it has.
     *
     * @param own requests of this entry at the upstream
     * @param ofPeers requests of its peers
     */
    int allowed(Upstream upstream, int own, int ofPeers, long nowMillis) {
        LifetimePace pace = lifetimes.get(upstream.lifetimeId());
        if (pace == null) {
            return upstream.slots();
        }
        pace.onLoad(own + ofPeers, ofPeers, nowMillis);
        EntryPart part = part(upstream.lifetimeId());
        PaceCounts peerCounts = peerCounts(upstream.id(), nowMillis);
        if (pace.endIfReached(peerCounts, upstream.slots())) {
            events.add(new PaceEvent(PaceEvent.Kind.ENDED, upstream.id()));
        }
        int allowed = upstream.slots();
        if (paceEnabled) {
            allowed = decidesForPeers.test(upstream.service())
                    ? pace.allowedToAll(peerCounts, upstream.slots()) - ofPeers
                    : pace.allowed(part, peerCounts, upstream.slots(), own + ofPeers, nowMillis);
        }
        limitedCount += own >= allowed && allowed < upstream.slots() ? 1 : 0;
        int left = coldLeft(upstream, pace, part, nowMillis);
        coldLimitedCount += own < allowed && left == 0 ? 1 : 0;
        return (int) Math.min(allowed, (long) own + left);
    }

    /** Returns how many further requests of this entry the bounds of an upstream that may be cold allow now. */
    private int coldLeft(Upstream upstream, LifetimePace pace, EntryPart part, long nowMillis) {
        ColdService service = coldServices.get(upstream.service());
        if (service == null) {
            return Integer.MAX_VALUE;
        }
        int bound = service.bounds().perScheduler();
        if (!pace.isCold(nowMillis)) {
            loggedCold.remove(upstream.id());
            return Math.max(0, bound - pace.placedInWindow(nowMillis));
        }
        if (loggedCold.add(upstream.id())) {
            events.add(new PaceEvent(PaceEvent.Kind.COLD, upstream.id()));
        }
        int forPeers =
                decidesForPeers.test(upstream.service()) ? service.bounds().forPeersOfCoordinator() : 0;
        int coldPart = Math.min(bound, part.ofCold(service.bounds()) + forPeers);
        return mayUseCold(service, nowMillis) ? pace.leftSpread(coldPart, nowMillis) : 0;
    }

    /**
     * Returns whether this entry has run long enough to use a cold upstream. Before, requests of its earlier process
     * may be within the same second, and it may not know the other entries.
     */
    private boolean mayUseCold(ColdService service, long nowMillis) {
        long ageMillis = nowMillis - startedAtMillis;
        // The first peer that is heard may have started as late as this entry and know few others.
        boolean knowsEntries = peersHeard && nowMillis - peersHeardAtMillis >= LEARNING_FROM_PEERS_MILLIS;
        return ageMillis >= PlacementWindow.WINDOW_MILLIS
                && (others.isEmpty() || knowsEntries || ageMillis >= service.coldStartMillis());
    }

    private EntryPart part(String lifetimeId) {
        return parts.computeIfAbsent(lifetimeId, id -> EntryPart.of(id, own, others));
    }

    private PaceCounts peerCounts(String upstreamId, long nowMillis) {
        return nowMillis < peersIgnoredUntilMillis.getOrDefault(upstreamId, Long.MIN_VALUE)
                ? PaceCounts.NONE
                : peers.total(upstreamId);
    }

    @Override
    public boolean isCold(Upstream upstream, long nowMillis) {
        return find(upstream).map(pace -> pace.isCold(nowMillis)).orElse(false);
    }

    @Override
    public void onPlaced(Upstream upstream, long nowMillis) {
        find(upstream).ifPresent(pace -> pace.onPlaced(nowMillis));
    }

    @Override
    public void onGoodAnswer(Upstream upstream, long nowMillis) {
        find(upstream).ifPresent(LifetimePace::onGoodAnswer);
    }

    @Override
    public void onSetback(Upstream upstream, Setback setback, long nowMillis) {
        find(upstream).ifPresent(pace -> pace.onSetback(nowMillis));
    }

    /**
     * Returns the counts of the listed upstream for the peers, or empty if there is nothing to report.
     *
     * @param used whether this entry has requests at the upstream
     */
    public Optional<PaceCounts> reported(Upstream upstream, boolean used, long nowMillis) {
        Optional<LifetimePace> pace = paceEnabled ? find(upstream) : Optional.empty();
        // An entry that is still learning must not end the pace of a started upstream at its peers.
        return pace.filter(present -> present.paced() || (used && !learning(nowMillis)))
                .map(present -> present.reported(upstream.slots()))
                .filter(counts -> !counts.equals(PaceCounts.NONE));
    }

    /** Returns how often an upstream was not chosen because of its pace. */
    public long limitedCount() {
        return limitedCount;
    }

    /** Returns how often an upstream was not chosen because of the bounds on cold upstreams. */
    public long coldLimitedCount() {
        return coldLimitedCount;
    }

    /** Returns what has happened since the last call, for the log and the metrics. */
    public List<PaceEvent> takeEvents() {
        List<PaceEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    /**
     * Service whose upstreams may be cold.
     *
     * @param coldStartMillis time for which an upstream is cold after its start
     */
    public record ColdService(long coldStartMillis, ColdBounds bounds) {
        public ColdService {
            Preconditions.checkArgument(
                    coldStartMillis >= 0, "coldStartMillis must not be negative but is %s", coldStartMillis);
        }
    }
}
