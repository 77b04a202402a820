package dev.wigeonward.gateway.exchange;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import dev.wigeonward.core.deployment.ColdStart;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.core.schedule.ColdStatement;
import dev.wigeonward.core.schedule.PacePolicy;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.schedule.pace.ColdBounds;
import dev.wigeonward.core.schedule.pace.EntryPace;
import dev.wigeonward.core.schedule.pace.EntryPace.ColdService;
import dev.wigeonward.core.schedule.pace.PaceCounts;
import dev.wigeonward.core.schedule.pace.PaceEvent;
import dev.wigeonward.gateway.event.Telemetry;

/** Pace of the upstreams of all services of one entry, with its log lines and metrics. Runs on the event loop. */
public final class UpstreamPaces {
    private final EntryPace pace;
    private final LongSupplier nowMillis;
    private final Telemetry telemetry;
    private PaceSettings settings;
    private Map<String, ColdStart> coldStarts = Map.of();
    private List<Upstream> listed = List.of();
    private long countedLimited;
    private long countedColdLimited;

    UpstreamPaces(
            PaceSettings settings, Predicate<String> decidesForPeers, LongSupplier nowMillis, Telemetry telemetry) {
        this.nowMillis = nowMillis;
        this.telemetry = telemetry;
        this.pace = EntryPace.create(nowMillis.getAsLong());
        pace.setDecidesForPeers(decidesForPeers);
        updateSettings(settings);
    }

    PacePolicy policy() {
        return pace;
    }

    void updateSettings(PaceSettings newer) {
        settings = newer;
        pace.setPaceEnabled(newer.enabled());
        applyBounds();
    }

    void configure(RoutingConfiguration configuration) {
        coldStarts = configuration.coldStarts();
        coldStarts.forEach((service, cold) -> {
            if (cold.assumed()) {
                telemetry
                        .log()
                        .warning(
                                "cold_start_assumed",
                                "service=" + service + " cold_start_ms=" + cold.millis() + " cold_per_s="
                                        + cold.perSecond());
            }
        });
        applyBounds();
    }

    private void applyBounds() {
        Map<String, ColdService> services = new HashMap<>();
        coldStarts.forEach((service, cold) -> services.put(
                service,
                new ColdService(
                        cold.millis(),
                        new ColdBounds(cold.perSecond(), settings.coldOverrunRatio(), settings.coldMargin()))));
        pace.setColdServices(services, nowMillis.getAsLong());
    }

    void setUpstreams(Collection<Upstream> upstreams) {
        listed = List.copyOf(upstreams);
        pace.setUpstreams(listed, nowMillis.getAsLong());
    }

    /**
     * Replaces the known entries.
     *
     * @param own link address of this entry
     * @param others link addresses of the other known entries, heard or not
     * @param anyHeard whether any of them has been heard
     */
    public void setEntries(String own, Set<String> others, boolean anyHeard) {
        pace.setEntries(own, others, anyHeard, nowMillis.getAsLong());
    }

    /** Replaces the counts that a peer reported, for all upstreams or for the given ones if the report is partial. */
    public void onPeerCounts(String peer, Map<String, PaceCounts> counts, boolean partial) {
        pace.onPeerCounts(peer, counts, partial, nowMillis.getAsLong());
    }

    /** Discards the counts of a peer that is not heard any more. */
    public void removePeer(String peer) {
        pace.removePeer(peer);
    }

    void onColdAnswer(Upstream upstream, ColdStatement statement) {
        pace.onColdAnswer(upstream, statement, nowMillis.getAsLong());
    }

    /** Returns the counts for the peers, by upstream, where there are any. */
    public Map<String, PaceCounts> ownCounts(Collection<EntryLoad> ownLoads) {
        if (!settings.enabled()) {
            return Map.of();
        }
        Set<String> used = new HashSet<>();
        ownLoads.forEach(load -> used.add(load.upstreamId()));
        Map<String, PaceCounts> counts = new HashMap<>();
        for (Upstream upstream : listed) {
            Optional<PaceCounts> reported =
                    pace.reported(upstream, used.contains(upstream.id()), nowMillis.getAsLong());
            reported.ifPresent(count -> counts.put(upstream.id(), count));
        }
        return counts;
    }

    /** Logs and counts what has happened since the last call. */
    void report() {
        for (PaceEvent event : pace.takeEvents()) {
            String name = event.kind() == PaceEvent.Kind.COLD ? "upstream_cold" : "upstream_pace_ended";
            telemetry.log().info(name, "id=" + event.upstreamId());
        }
        telemetry.count("pace.limited", pace.limitedCount() - countedLimited);
        countedLimited = pace.limitedCount();
        telemetry.count("pace.cold_limited", pace.coldLimitedCount() - countedColdLimited);
        countedColdLimited = pace.coldLimitedCount();
    }
}
