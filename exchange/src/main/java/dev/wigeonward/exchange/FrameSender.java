package dev.wigeonward.exchange;

import dev.wigeonward.wire.generated.Frame;

/** Sender of frames to linked peers; a frame to a peer without a link is dropped. */
public interface FrameSender {
    /** Sends a frame to one peer. */
    void send(String peer, Frame frame);

    /** Sends a frame to all linked peers except the given one. */
    void sendToOthers(String exceptPeer, Frame frame);
}
