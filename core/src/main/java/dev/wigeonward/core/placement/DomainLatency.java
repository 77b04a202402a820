package dev.wigeonward.core.placement;

import com.google.common.base.Preconditions;

/** Latency that a failure domain adds for one entry. */
public interface DomainLatency {
    /** Returns the round trip to the domain beyond that to the entry's own domain, in milliseconds. */
    long extraMillis(String failureDomain);

    /** Returns a latency that is the same for all domains but the entry's own, which adds none. */
    static DomainLatency uniform(String ownDomain, long remoteExtraMillis) {
        Preconditions.checkArgument(remoteExtraMillis >= 0, "remoteExtraMillis is %s", remoteExtraMillis);
        return domain -> domain.equals(ownDomain) ? 0 : remoteExtraMillis;
    }
}
