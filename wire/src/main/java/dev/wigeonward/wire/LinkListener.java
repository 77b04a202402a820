package dev.wigeonward.wire;

import dev.wigeonward.wire.generated.Frame;

/** Receives what happens on links; called on the link's thread, must not block. */
public interface LinkListener {
    /** The peer's greeting arrived. */
    void onUp(Link link);

    /** A frame other than a greeting arrived. */
    void onFrame(Link link, Frame frame);

    /** The link is closed, was silent for too long or broke the protocol. Not called for links that never came up. */
    void onDown(Link link, String reason);

    /** A connection attempt failed, or the peer rejected the greeting. */
    void onConnectFailed(String address, String reason);
}
