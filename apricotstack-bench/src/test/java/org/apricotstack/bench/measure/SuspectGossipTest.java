package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.bench.deployment.LocalDeployment;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.serving.gossip.GossipHub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks which routers of a large fleet receive upstream crashes under requests, with the real gossip protocol over
 * loopback. */
class SuspectGossipTest {

    /** One more than the largest fleet in which all routers are active. */
    private static final int ROUTERS = 17;

    private static final int CAPACITY_PERCENT = 100;
    private static final RequestDigest SINGLE_CRASH = new RequestDigest(1, 1);
    private static final RequestDigest CAUSE = new RequestDigest(2, 2);

    private final List<GossipNode> fleet = new ArrayList<>();

    /** The routers that received a crash under each request; each router adds itself on a thread of its own. */
    private final Map<RequestTrait, Set<GossipNode>> reports = new ConcurrentHashMap<>();

    @AfterEach
    void close() {
        fleet.forEach(GossipNode::close);
    }

    private void start(int number) {
        List<Address> seeds = fleet.stream().limit(3).map(GossipNode::address).toList();
        GossipNode router = new GossipNode(number, seeds, CAPACITY_PERCENT);
        router.onCrashReported(request -> reports.computeIfAbsent(request, key -> ConcurrentHashMap.newKeySet())
                .add(router));
        fleet.add(router);
    }

    private List<GossipNode> activeRouters() {
        return fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
    }

    private boolean haveReceived(RequestDigest request, List<GossipNode> routers, GossipNode sender) {
        return routers.stream()
                .filter(router -> router != sender)
                .allMatch(router -> router.read(
                        hub -> reports.getOrDefault(request, Set.of()).contains(router)));
    }

    /**
     * Guards against a standby router that forwards a request which all others refuse: three upstreams crashed under
     * the request, and a caller with an outdated address sends it to a standby router. State updates usually go to
     * active routers only.
     */
    @Test
    void sendsEachCrashToActiveRoutersAndACauseToAllRouters() {
        for (int i = 0; i < ROUTERS; i++) {
            start(i);
        }
        LocalDeployment.await("all routers know each other and few are active", () -> {
            List<GossipNode> active = activeRouters();
            return fleet.stream().allMatch(router -> router.read(GossipHub::knownRouters) == ROUTERS)
                    && active.size() < ROUTERS
                    && active.stream().allMatch(router -> router.read(GossipHub::activePeers) == active.size() - 1);
        });
        GossipNode sender = activeRouters().get(0);
        sender.announceCrash(SINGLE_CRASH, new UpstreamId("upstream-0"), false);
        LocalDeployment.await(
                "the active routers have received one crash",
                () -> haveReceived(SINGLE_CRASH, activeRouters(), sender));
        for (int crash = 1; crash <= 3; crash++) {
            sender.announceCrash(CAUSE, new UpstreamId("upstream-" + crash), crash == 3);
        }
        LocalDeployment.await("all routers have received the cause", () -> haveReceived(CAUSE, fleet, sender));
    }
}
