package dev.wigeonward.agent.runtime;

import java.util.Optional;

import dev.wigeonward.agent.upstream.UpstreamClient.ProbeResult;
import dev.wigeonward.core.dispatch.AgentEvent;

/** Derives from probe results the events that the upstream died or is alive again. */
final class UpstreamHealth {
    /** One failed probe can be caused by a full accept queue; two in a row count as the death of the upstream. */
    private static final int FAILURES_BEFORE_DEAD = 2;

    private String instance = "";
    private int failures;
    private boolean alive = true;

    /** Returns the instance name that the upstream last reported; it changes with each restart of the upstream. */
    String instance() {
        return instance;
    }

    Optional<AgentEvent> onProbe(ProbeResult result) {
        if (result instanceof ProbeResult.Alive answered) {
            boolean restarted = !instance.isEmpty() && !instance.equals(answered.instance());
            instance = answered.instance();
            failures = 0;
            if (restarted && alive) {
                // All runs of the old instance are lost. The next probe reports the new instance as alive.
                alive = false;
                return Optional.of(new AgentEvent.UpstreamDied());
            }
            if (!alive) {
                alive = true;
                return Optional.of(new AgentEvent.UpstreamAlive());
            }
            return Optional.empty();
        }
        failures++;
        if (alive && failures >= FAILURES_BEFORE_DEAD) {
            alive = false;
            return Optional.of(new AgentEvent.UpstreamDied());
        }
        return Optional.empty();
    }
}
