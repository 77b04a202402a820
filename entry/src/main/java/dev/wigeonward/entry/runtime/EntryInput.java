package dev.wigeonward.entry.runtime;

import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.entry.caller.CallerSession;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.generated.Frame;

/** What reaches the decision thread of an entry. */
sealed interface EntryInput {
    /** A caller's request. */
    record FromCaller(CallerSession session) implements EntryInput {}

    /** A link is up. */
    record LinkOpened(Link link) implements EntryInput {}

    /** A frame arrived. */
    record FrameArrived(Link link, Frame frame) implements EntryInput {}

    /** A link is gone. */
    record LinkClosed(Link link, String reason) implements EntryInput {}

    /** A connection attempt failed. */
    record ConnectFailed(String address, String reason) implements EntryInput {}

    /** An event of another adapter. */
    record Event(EntryEvent event) implements EntryInput {}

    /** A question that needs the state of the decision thread. */
    record Query(Runnable question) implements EntryInput {}
}
