package dev.wigeonward.exchange;

import dev.wigeonward.wire.generated.Frame;

/** Sends frames to linked peers; a frame to a peer without a link is dropped. */
public interface FrameSender {
    /** Sends a frame to one peer. */
    void send(String peer, Frame frame);

    /** Sends a frame to all peers but one. */
    void sendToOthers(String exceptPeer, Frame frame);
}
