package dev.wigeonward.agent.runtime;

import java.time.Clock;
import java.util.Objects;

import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.core.dispatch.AgentDispatcher;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.generated.Hello;

/** The components that the runtime of an agent is built from. */
public record AgentRuntimeComponents(
        AgentDispatcher dispatcher, UpstreamClient upstream, Clock clock, LinkSettings linkSettings, Hello hello) {
    public AgentRuntimeComponents {
        Objects.requireNonNull(dispatcher, "dispatcher");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(linkSettings, "linkSettings");
        Objects.requireNonNull(hello, "hello");
    }
}
