package dev.wigeonward.agent.runtime;

import java.util.Optional;

import dev.wigeonward.agent.upstream.UpstreamClient.ProbeResult;
import dev.wigeonward.core.dispatch.AgentEvent;

/** Turns probe results into the news that the upstream died or is back. */
final class UpstreamHealth {
    /** One lost probe may be a full accept queue; two in a row are not. */
    private static final int FAILURES_BEFORE_DEAD = 2;

    private String instance = "";
    private int failures;
    private boolean alive = true;

    /** Returns the name of the upstream's current start. */
    String instance() {
        return instance;
    }

    Optional<AgentEvent> onProbe(ProbeResult result) {
        if (result instanceof ProbeResult.Alive answered) {
            boolean restarted = !instance.isEmpty() && !instance.equals(answered.instance());
            instance = answered.instance();
            failures = 0;
            if (restarted && alive) {
                // What ran in the old instance is lost; the next probe reports the new one as alive.
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
