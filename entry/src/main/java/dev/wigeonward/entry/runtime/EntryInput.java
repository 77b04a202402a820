package dev.wigeonward.entry.runtime;

import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.entry.caller.CallerResponse;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.generated.Frame;

/** An input of the decision thread of an entry. */
sealed interface EntryInput {
    /** A request arrived from a caller. */
    record FromCaller(CallerResponse response) implements EntryInput {}

    /** A link was opened. */
    record LinkOpened(Link link) implements EntryInput {}

    /** A frame arrived on a link. */
    record FrameArrived(Link link, Frame frame) implements EntryInput {}

    /** A link was closed. */
    record LinkClosed(Link link, String reason) implements EntryInput {}

    /** An attempt to connect to an agent failed. */
    record ConnectFailed(String address, String reason) implements EntryInput {}

    /** An event for the dispatcher that comes from another thread. */
    record Event(EntryEvent event) implements EntryInput {}

    /** A task to run on the decision thread. */
    record Query(Runnable task) implements EntryInput {}
}
