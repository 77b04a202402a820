package dev.wigeonward.gateway.peer;

import java.util.List;

import dev.wigeonward.core.suspect.SuspectPartFact;
import dev.wigeonward.exchange.FactSync;
import dev.wigeonward.gateway.exchange.SuspectPublisher;

/** Publisher of evidence on suspects that sends it to the other entries as facts. */
record SuspectFactPublisher(FactSync facts) implements SuspectPublisher {
    @Override
    public void publishRequest(long fingerprint, String upstreamLifetime, long nowMillis) {
        facts.publishSuspect(fingerprint, upstreamLifetime, nowMillis);
    }

    @Override
    public void publishParts(List<SuspectPartFact> newer) {
        facts.publishSuspectParts(newer);
    }
}
