package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.cap.TenantCap;
import dev.wigeonward.core.deployment.Tenant;

/** The usage caps of all tenants as this entry sees them. Runs on the event loop. */
public final class Tenants {
    /** The rest covers entries that are cut off, reports on the way, and requests larger than what is left. */
    private static final double USED_TOLERANCE = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private PathSettings settings;
    private final Map<String, TenantCap> caps = new HashMap<>();
    private int heard = 1;
    private int known = 1;

    Tenants(PathSettings settings) {
        this.settings = settings;
    }

    void settings(PathSettings newer) {
        settings = newer;
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
                cap = TenantCap.create(tenant.ratePerSecond(), capacity(tenant), known, nowMillis);
                cap.entries(heard, known, nowMillis);
            } else {
                cap.change(tenant.ratePerSecond(), capacity(tenant), nowMillis);
            }
            caps.put(tenant.name(), cap);
        }
    }

    /** A shared cap refuses what a central one would not, so part of the tolerated overrun is used to avoid that. */
    private long capacity(Tenant tenant) {
        double window = tenant.ratePerSecond() * settings.capWindowMillis() / MILLIS_PER_SECOND + tenant.burst();
        double tolerated = settings.capOverrunRatio() * window + settings.capMargin();
        return Math.max(1, tenant.burst() + (long) (USED_TOLERANCE * tolerated));
    }

    void entries(int newHeard, int newKnown, long nowMillis) {
        heard = newHeard;
        known = newKnown;
        caps.values().forEach(cap -> cap.entries(heard, known, nowMillis));
    }

    void onPeer(String peer, long incarnation, Map<String, Usage> usages, long nowMillis) {
        caps.forEach((tenant, cap) -> {
            Usage usage = usages.get(tenant);
            if (usage != null) {
                cap.onPeer(peer, incarnation, usage.total(), usage.level(), nowMillis);
            }
        });
    }

    void forget(String peer) {
        caps.values().forEach(cap -> cap.forget(peer));
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

    Map<String, Usage> usages(long nowMillis) {
        Map<String, Usage> usages = new HashMap<>();
        caps.forEach((tenant, cap) -> usages.put(tenant, new Usage(cap.usedTotal(), cap.level(nowMillis))));
        return usages;
    }

    List<String> describe(long nowMillis) {
        List<String> lines = new ArrayList<>();
        caps.forEach((tenant, cap) ->
                lines.add("%s used_total=%.0f left=%.0f".formatted(tenant, cap.usedTotal(), cap.level(nowMillis))));
        lines.sort(null);
        return lines;
    }

    /**
     * One entry's figures on one tenant.
     *
     * @param total usage that passed since the entry's start
     * @param level what the entry believes to be left
     */
    public record Usage(double total, double level) {}
}
