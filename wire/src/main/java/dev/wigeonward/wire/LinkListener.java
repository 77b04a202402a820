package dev.wigeonward.wire;

import dev.wigeonward.wire.generated.Frame;

/** Listener for events on links. Called on the event loop of the link; implementations must not block. */
public interface LinkListener {
    /** Called when the peer's greeting has arrived and the link is up. */
    void onUp(Link link);

    /** Called when a frame arrives after the greeting. */
    void onFrame(Link link, Frame frame);

    /**
     * Called when a link goes down: it was closed, was silent for too long, or failed. Not called for links that never
     * came up.
     */
    void onDown(Link link, String reason);

    /** Called when a connection attempt failed, or when one side rejected the greeting of the other. */
    void onConnectFailed(String address, String reason);
}
