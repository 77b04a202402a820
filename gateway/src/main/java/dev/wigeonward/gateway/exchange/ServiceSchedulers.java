package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

import dev.wigeonward.core.schedule.ObservedUnitTime;
import dev.wigeonward.core.schedule.PeerLoadTable;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.core.schedule.Upstream;

/** Schedulers of all services of one entry and the loads of its peers. */
final class ServiceSchedulers {
    private final Function<String, ServiceScheduler> factory;
    private final Map<String, ServiceScheduler> schedulers = new HashMap<>();
    private final PeerLoadTable peerLoads = PeerLoadTable.create();

    /**
     * Creates the schedulers.
     *
     * @param factory creates the scheduler of a service at its first use
     */
    ServiceSchedulers(Function<String, ServiceScheduler> factory) {
        this.factory = factory;
    }

    /** Returns the scheduler of a service. */
    ServiceScheduler of(String service) {
        return schedulers.computeIfAbsent(service, factory);
    }

    /** Returns the schedulers that exist now. */
    List<ServiceScheduler> all() {
        return List.copyOf(schedulers.values());
    }

    void forEach(BiConsumer<String, ServiceScheduler> action) {
        schedulers.forEach(action);
    }

    boolean anyWaiting() {
        return schedulers.values().stream().anyMatch(scheduler -> scheduler.waitingCount() > 0);
    }

    /** Replaces the lists of upstreams of all services. */
    void setUpstreams(Collection<Upstream> listed) {
        Map<String, List<Upstream>> byService = new HashMap<>();
        schedulers.keySet().forEach(service -> byService.put(service, new ArrayList<>()));
        for (Upstream upstream : listed) {
            byService
                    .computeIfAbsent(upstream.service(), service -> new ArrayList<>())
                    .add(upstream);
        }
        byService.forEach((service, upstreams) -> {
            ServiceScheduler scheduler = of(service);
            scheduler.setUpstreams(upstreams);
            upstreams.forEach(upstream -> scheduler.setPeerLoad(peerLoads.total(upstream.id())));
        });
    }

    /** Replaces the loads of a peer as a whole or in part, and returns whether a total has changed. */
    boolean onPeerLoads(String peer, List<EntryLoad> loads, boolean partial) {
        return applyTotals(partial ? peerLoads.update(peer, loads) : peerLoads.replace(peer, loads));
    }

    /** Discards the loads of a peer, and returns whether a total has changed. */
    boolean removePeerLoads(String peer) {
        return applyTotals(peerLoads.remove(peer));
    }

    private boolean applyTotals(List<EntryLoad> changed) {
        for (EntryLoad total : changed) {
            schedulers.values().forEach(scheduler -> scheduler.setPeerLoad(total));
        }
        return !changed.isEmpty();
    }

    /** Returns the load of this entry on each upstream. */
    List<EntryLoad> ownLoads() {
        List<EntryLoad> loads = new ArrayList<>();
        schedulers.values().forEach(scheduler -> loads.addAll(scheduler.ownLoads()));
        return loads;
    }

    List<ObservedUnitTime> unitTimes(long nowMillis) {
        List<ObservedUnitTime> unitTimes = new ArrayList<>();
        schedulers.values().forEach(scheduler -> unitTimes.addAll(scheduler.unitTimes(nowMillis)));
        return unitTimes;
    }

    List<ObservedUnitTime> takeChangedUnitTimes(long nowMillis) {
        List<ObservedUnitTime> unitTimes = new ArrayList<>();
        schedulers.values().forEach(scheduler -> unitTimes.addAll(scheduler.takeChangedUnitTimes(nowMillis)));
        return unitTimes;
    }

    void adoptNewerUnitTimes(List<ObservedUnitTime> unitTimes, long nowMillis) {
        schedulers.values().forEach(scheduler -> scheduler.adoptNewerUnitTimes(unitTimes, nowMillis));
    }
}
