package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;

/** State of the upstreams of one service. Not thread-safe. */
final class UpstreamLoads {
    /** Number of upstreams whose state is kept after they were removed from the list. */
    private static final int MAX_UNLISTED = 64;

    private final Map<String, UpstreamLoad> listed = new HashMap<>();
    /** Upstreams that were removed from the list, by lifetime, the latest last; they may be listed again. */
    private final Map<String, UpstreamLoad> unlisted = new LinkedHashMap<>();

    /** Replaces the list; the state of an upstream is kept if its lifetime and address are unchanged. */
    void replace(Collection<Upstream> newlyListed) {
        for (UpstreamLoad load : listed.values()) {
            unlisted.remove(load.upstream().lifetimeId());
            unlisted.put(load.upstream().lifetimeId(), load);
        }
        listed.clear();
        for (Upstream upstream : newlyListed) {
            UpstreamLoad existing = unlisted.get(upstream.lifetimeId());
            if (existing != null && existing.upstream().sameLifetime(upstream)) {
                unlisted.remove(upstream.lifetimeId());
                existing.setUpstream(upstream);
                listed.put(upstream.id(), existing);
            } else {
                listed.put(upstream.id(), new UpstreamLoad(upstream));
            }
        }
        for (Iterator<UpstreamLoad> oldest = unlisted.values().iterator(); unlisted.size() > MAX_UNLISTED; ) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the listed upstreams; the view follows later changes. */
    Collection<UpstreamLoad> all() {
        return listed.values();
    }

    /** Returns the listed upstream with the identifier, or null if there is none. */
    UpstreamLoad get(String id) {
        return listed.get(id);
    }

    /** Returns the state of a lifetime of an upstream, also if it is no longer listed. */
    Optional<UpstreamLoad> find(Upstream upstream) {
        UpstreamLoad current = listed.get(upstream.id());
        UpstreamLoad load = current != null && current.upstream().sameLifetime(upstream)
                ? current
                : unlisted.get(upstream.lifetimeId());
        return Optional.ofNullable(load);
    }

    /** Adopts the unit times observed by other entries where they are newer than those of this entry. */
    void adoptNewerUnitTimes(Collection<ObservedUnitTime> unitTimes, long nowMillis) {
        Map<String, ObservedUnitTime> byLifetime = new HashMap<>();
        unitTimes.forEach(unitTime -> byLifetime.put(unitTime.lifetimeId(), unitTime));
        for (UpstreamLoad load : listed.values()) {
            ObservedUnitTime unitTime = byLifetime.get(load.upstream().lifetimeId());
            if (unitTime != null) {
                load.adoptUnitTime(unitTime.unitTimeMillis(), nowMillis - unitTime.ageMillis());
            }
        }
    }

    List<Upstream> suspended() {
        return listed.values().stream()
                .filter(UpstreamLoad::suspended)
                .map(UpstreamLoad::upstream)
                .toList();
    }

    List<ObservedUnitTime> unitTimes(long nowMillis) {
        return listed.values().stream()
                .flatMap(load -> load.observedUnitTime(nowMillis).stream())
                .toList();
    }

    List<ObservedUnitTime> takeChangedUnitTimes(long nowMillis) {
        return listed.values().stream()
                .flatMap(load -> load.takeChangedUnitTime(nowMillis).stream())
                .toList();
    }

    /** Returns the number of requests of all entries at upstreams of other versions than the given one. */
    int outstandingAtOtherVersions(String version) {
        return listed.values().stream()
                .filter(load -> !load.upstream().version().equals(version))
                .mapToInt(UpstreamLoad::outstanding)
                .sum();
    }

    /** Returns the load of this entry at each upstream where it has requests. */
    List<EntryLoad> ownLoads() {
        List<EntryLoad> loads = new ArrayList<>();
        for (UpstreamLoad load : listed.values()) {
            EntryLoad ownLoad = ownLoad(load);
            if (ownLoad.requests() > 0) {
                loads.add(ownLoad);
            }
        }
        return loads;
    }

    /** Returns the load without the requests that this entry has only granted, because their entries report them. */
    private static EntryLoad ownLoad(UpstreamLoad load) {
        int requests = 0;
        long promptTokens = 0;
        for (ScheduledRequest request : load.running()) {
            requests += request.isOfPeer() ? 0 : 1;
            promptTokens += request.isOfPeer() ? 0 : request.pendingPromptTokens();
        }
        return new EntryLoad(load.upstream().id(), requests, promptTokens);
    }

    /** Returns the listed lifetime if it takes new requests, or null. */
    UpstreamLoad findAccepting(String lifetimeId) {
        for (UpstreamLoad load : listed.values()) {
            if (load.accepting() && load.upstream().lifetimeId().equals(lifetimeId)) {
                return load;
            }
        }
        return null;
    }
}
