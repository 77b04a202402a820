package dev.wigeonward.core.placement;

import com.google.common.base.Preconditions;

/** Additional latency between one entry and each failure domain. */
public interface DomainLatency {
    /** Returns by how much the round trip to the domain exceeds that to the entry's own domain, in milliseconds. */
    long extraMillis(String failureDomain);

    /** Returns a latency of 0 for the entry's own domain and of {@code remoteExtraMillis} for all others. */
    static DomainLatency uniform(String ownDomain, long remoteExtraMillis) {
        Preconditions.checkArgument(
                remoteExtraMillis >= 0, "remoteExtraMillis must not be negative but was %s", remoteExtraMillis);
        return domain -> domain.equals(ownDomain) ? 0 : remoteExtraMillis;
    }
}
