package org.apricotstack.serving.gossip;

import org.apricotstack.core.link.LinkTable;
import org.apricotstack.serving.relay.RelayServer;

/** Relay servers for tests of gossip streams. */
final class TestRelays {

    private TestRelays() {}

    /** Returns a server that relays nothing. */
    static RelayServer none() {
        return new RelayServer(null, null, new LinkTable(), address -> false, ip -> false, 0);
    }
}
