package dev.wigeonward.gateway.exchange;

import java.util.List;

import dev.wigeonward.core.suspect.SuspectPartFact;

/** Publisher of evidence that a request, or a part of its prompt, crashes upstreams. */
public interface SuspectPublisher {
    /** Publishes that one lifetime of an upstream ended while the request with the fingerprint was running. */
    void publishRequest(long fingerprint, String upstreamLifetime, long nowMillis);

    /** Publishes facts on parts of prompts that this process has added to its table. */
    void publishParts(List<SuspectPartFact> facts);
}
