package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.bench.deployment.LocalDeployment;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.serving.gossip.GossipHub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Which routers of a large fleet are told of requests that end upstreams, with real routers' news over loopback. */
class SuspectReachTest {

    /** One more than the largest fleet in which all routers take callers. */
    private static final int ROUTERS = 17;

    private static final int CAPACITY_PERCENT = 100;
    private static final RequestDigest ONCE = new RequestDigest(1, 1);
    private static final RequestDigest CAUSE = new RequestDigest(2, 2);

    private final List<NewsRouter> fleet = new ArrayList<>();
    private final Map<RequestDigest, List<NewsRouter>> heard = new ConcurrentHashMap<>();

    @AfterEach
    void close() {
        fleet.forEach(NewsRouter::close);
    }

    private void start(int number) {
        List<Address> seeds = fleet.stream().limit(3).map(NewsRouter::address).toList();
        NewsRouter router = new NewsRouter(number, seeds, CAPACITY_PERCENT);
        router.whenHeardOfEnd(request ->
                heard.computeIfAbsent(request, key -> new ArrayList<>()).add(router));
        fleet.add(router);
    }

    private List<NewsRouter> deciding() {
        return fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
    }

    private boolean haveHeard(RequestDigest request, List<NewsRouter> routers, NewsRouter teller) {
        return routers.stream()
                .filter(router -> router != teller)
                .allMatch(router -> router.read(
                        hub -> heard.getOrDefault(request, List.of()).contains(router)));
    }

    /**
     * Symptom: a router that stands by sends on a request that all others refuse. Sequence: three upstreams end under
     * it; a caller that kept an old address comes to a router that stands by. Cause: news go to those only that decide
     * on requests.
     */
    @Test
    void tellsThoseThatDecideOfEachEndAndAllOthersOfACause() {
        for (int i = 0; i < ROUTERS; i++) {
            start(i);
        }
        LocalDeployment.await("all routers know each other and few decide", () -> {
            List<NewsRouter> few = deciding();
            return fleet.stream().allMatch(router -> router.read(GossipHub::knownRouters) == ROUTERS)
                    && few.size() < ROUTERS
                    && few.stream().allMatch(router -> router.read(GossipHub::activePeers) == few.size() - 1);
        });
        NewsRouter teller = deciding().get(0);
        teller.tellEnd(ONCE, new UpstreamId("upstream-0"), false);
        LocalDeployment.await("those that decide know of one end", () -> haveHeard(ONCE, deciding(), teller));
        for (int end = 1; end <= 3; end++) {
            teller.tellEnd(CAUSE, new UpstreamId("upstream-" + end), end == 3);
        }
        LocalDeployment.await("all know of the cause", () -> haveHeard(CAUSE, fleet, teller));
    }
}
