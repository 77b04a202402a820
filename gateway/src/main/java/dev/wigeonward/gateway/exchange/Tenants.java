package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.cap.TenantCap;
import dev.wigeonward.core.deployment.Tenant;

/** This entry's parts of the usage caps of all tenants. Runs on the event loop. */
final class Tenants {
    /** The rest covers entries that are cut off and requests that overdraw the part of an entry. */
    private static final double USED_TOLERANCE = 0.6;

    private final PathSettings settings;
    private final Map<String, TenantCap> caps = new HashMap<>();
    private Map<String, Double> peerDemands = Map.of();
    private int peersHeard;
    private int entries = 1;

    Tenants(PathSettings settings) {
        this.settings = settings;
    }

    void declare(List<Tenant> tenants, long nowMillis) {
        Map<String, TenantCap> previous = new HashMap<>(caps);
        caps.clear();
        for (Tenant tenant : tenants) {
            if (tenant.ratePerSecond() <= 0) {
                continue;
            }
            TenantCap cap = previous.get(tenant.name());
            if (cap == null) {
                cap = TenantCap.create(
                        tenant.ratePerSecond(), burst(tenant), settings.capWindowMillis(), entries, nowMillis);
            } else {
                cap.change(tenant.ratePerSecond(), burst(tenant), nowMillis);
            }
            caps.put(tenant.name(), cap);
        }
        share(nowMillis);
    }

    /** A distributed cap refuses what a central one would not, so part of the tolerated overrun is used to avoid that. */
    private long burst(Tenant tenant) {
        double window = tenant.ratePerSecond() * settings.capWindowMillis() / 1_000.0 + tenant.burst();
        double tolerated = settings.capOverrunRatio() * window + settings.capMargin();
        return tenant.burst() + (long) (USED_TOLERANCE * tolerated);
    }

    void peers(Map<String, Double> usagePerSecondByTenant, int heard, int knownEntries, long nowMillis) {
        peerDemands = usagePerSecondByTenant;
        peersHeard = heard;
        entries = knownEntries;
        share(nowMillis);
    }

    private void share(long nowMillis) {
        caps.forEach(
                (tenant, cap) -> cap.onPeers(peerDemands.getOrDefault(tenant, 0.0), peersHeard, entries, nowMillis));
    }

    /** Returns 0 and counts the usage if the tenant may use it now, or else the time until it may, in milliseconds. */
    long use(Tenant tenant, long usage, long nowMillis) {
        TenantCap cap = caps.get(tenant.name());
        if (cap == null || cap.tryUse(usage, nowMillis)) {
            return 0;
        }
        return Math.max(1, cap.millisUntilAvailable());
    }

    void giveBack(Tenant tenant, long usage) {
        TenantCap cap = caps.get(tenant.name());
        if (cap != null) {
            cap.giveBack(usage);
        }
    }

    Map<String, Double> demands(long nowMillis) {
        Map<String, Double> demands = new HashMap<>();
        caps.forEach((tenant, cap) -> demands.put(tenant, cap.demandPerSecond(nowMillis)));
        return demands;
    }

    List<String> describe(long nowMillis) {
        List<String> lines = new ArrayList<>();
        caps.forEach((tenant, cap) -> lines.add("%s demand_per_second=%.0f wait_millis=%d"
                .formatted(tenant, cap.demandPerSecond(nowMillis), cap.millisUntilAvailable())));
        lines.sort(null);
        return lines;
    }
}
