package dev.wigeonward.entry.control;

import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.exchange.FrameSender;

/** Operations of the runtime that the control plane uses; a peer is identified by its upstream id. */
public interface ControlPlaneLinks extends FrameSender {
    /** Opens a link to the agent of an upstream. */
    void connect(String upstreamId, String address);

    /** Closes the link to the agent of an upstream. */
    void disconnect(String upstreamId);

    /** Closes the link to the agent of an upstream once this entry has no request there. */
    void disconnectWhenIdle(String upstreamId);

    /** Passes an event to the dispatcher and carries out its effects. */
    void dispatch(EntryEvent event);
}
