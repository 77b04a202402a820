package dev.wigeonward.entry.runtime;

import java.time.Clock;
import java.util.Optional;

import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.entry.control.UsageRecorder;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.generated.Hello;
import io.netty.handler.ssl.SslContext;

/** The components that the runtime of an entry is built from. */
public record EntryRuntimeComponents(
        EntryDispatcher dispatcher,
        ClaimPort claims,
        Clock clock,
        EntryMetrics metrics,
        UsageRecorder usage,
        PrefixIndex prefixes,
        LinkSettings linkSettings,
        Hello hello,
        Optional<SslContext> linkTls) {}
