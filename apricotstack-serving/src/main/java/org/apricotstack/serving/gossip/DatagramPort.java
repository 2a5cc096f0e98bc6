package org.apricotstack.serving.gossip;

import java.util.function.BiConsumer;

import org.apricotstack.core.id.Address;
import org.apricotstack.wire.news.NewsFrame;

/** Sends and receives frames as datagrams, each of which may be lost. */
interface DatagramPort {

    /** Sets the listener for frames and their senders; it is called on the event loop. */
    void onFrame(BiConsumer<NewsFrame, Address> listener);

    /** Sends a frame. */
    void send(Address address, EncodedFrame frame);
}
