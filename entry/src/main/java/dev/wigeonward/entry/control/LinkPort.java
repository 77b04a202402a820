package dev.wigeonward.entry.control;

import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.exchange.FrameSender;

/** What the control plane asks of the runtime; peers are named by upstream id. */
public interface LinkPort extends FrameSender {
    /** Opens a link to the agent of an upstream. */
    void connect(String upstreamId, String address);

    /** Closes the link to the agent of an upstream. */
    void disconnect(String upstreamId);

    /** Closes the link to the agent of an upstream once no own request is left there. */
    void disconnectWhenIdle(String upstreamId);

    /** Hands an event to the dispatcher. */
    void dispatch(EntryEvent event);
}
