package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.VirtualTime;

/**
 * Simulates routers in virtual time while the operators evacuate data centres. Each router has one upstream in each
 * data centre. A share of the routers reads the platform, with delays that reorder its changes; all of them compare
 * revisions with those that they reach at each heartbeat, and get the list of the one that knows most.
 */
final class EvacuationSimulation {

    /** Failures during the simulation. */
    enum Fault {
        NONE,
        /** Two halves of the routers do not reach each other, and only one of them reaches the platform. */
        SPLIT,
        /** Routers restart without state. */
        RESTARTS,
        /** No router reaches the platform. */
        PLATFORM_LOST
    }

    static final List<DataCentreId> DATA_CENTRES = List.of(new DataCentreId("east"), new DataCentreId("west"));
    static final long FAULT_FROM_MILLIS = 10_000;
    static final long FAULT_UNTIL_MILLIS = 25_000;
    static final long SIMULATED_MILLIS = 45_000;

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long CHECK_MILLIS = 100;
    private static final long CHANGE_MILLIS = 1_700;
    private static final long MAX_DELAY_MILLIS = 1_000;
    private static final int READER_EVERY = 5;

    private final Fault fault;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final Map<DataCentreId, Long> listed = new HashMap<>();
    private final Map<DataCentreId, Long> changedMillis = new HashMap<>();
    private final List<RouterModel> routers = new ArrayList<>();
    private long revision = 1;
    private long longestDisobeyedMillis;

    EvacuationSimulation(int count, Fault fault, long seed) {
        this.fault = fault;
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            routers.add(new RouterModel(i));
        }
    }

    /** Returns the longest time from a change to a router in touch that did not obey it, in milliseconds. */
    long longestDisobeyedMillis() {
        return longestDisobeyedMillis;
    }

    /** Runs the simulation. */
    EvacuationSimulation run() {
        routers.forEach(RouterModel::restart);
        for (long at = CHANGE_MILLIS; at < SIMULATED_MILLIS - 3 * MAX_DELAY_MILLIS; at += upTo(2 * CHANGE_MILLIS)) {
            time.at(at, this::change);
        }
        for (long at = 0; at < SIMULATED_MILLIS; at += HEARTBEAT_MILLIS) {
            time.at(at, () -> routers.forEach(RouterModel::compareWithOthers));
        }
        for (long at = CHECK_MILLIS; at < SIMULATED_MILLIS; at += CHECK_MILLIS) {
            time.at(at, () -> routers.forEach(RouterModel::check));
        }
        if (fault == Fault.RESTARTS) {
            for (long at = FAULT_FROM_MILLIS; at < FAULT_UNTIL_MILLIS; at += HEARTBEAT_MILLIS) {
                time.at(at, () -> routers.get(random.nextInt(routers.size())).restart());
            }
        }
        time.at(FAULT_UNTIL_MILLIS, () -> routers.stream()
                .filter(RouterModel::isReader)
                .forEach(reader -> time.at(time.nowMillis() + upTo(MAX_DELAY_MILLIS), reader::readAll)));
        time.run();
        return this;
    }

    private long upTo(long millis) {
        return 1 + random.nextInt((int) millis);
    }

    private boolean faulty(Fault kind) {
        return fault == kind && time.nowMillis() >= FAULT_FROM_MILLIS && time.nowMillis() < FAULT_UNTIL_MILLIS;
    }

    /** Begins or ends the evacuation of a data centre at the platform. */
    private void change() {
        DataCentreId dataCentre = DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size()));
        long changed = ++revision;
        boolean removed = listed.remove(dataCentre) != null;
        if (!removed) {
            listed.put(dataCentre, changed);
        }
        changedMillis.put(dataCentre, time.nowMillis());
        routers.forEach(router -> router.changeReported(dataCentre, changed, removed));
    }

    /** A simulated router. */
    private final class RouterModel {
        private final int place;
        private UpstreamTable upstreams;
        private long inTouchFromMillis;

        RouterModel(int place) {
            this.place = place;
        }

        private EvacuationTable table() {
            return upstreams.evacuations();
        }

        private boolean reachesPlatform() {
            return !faulty(Fault.PLATFORM_LOST) && !(faulty(Fault.SPLIT) && place % 2 == 1);
        }

        private boolean isReader() {
            return place % READER_EVERY == 0;
        }

        /** Starts without state; not ready before the first list, of the platform or of another router. */
        private void restart() {
            upstreams = new UpstreamTable();
            DATA_CENTRES.forEach(dataCentre -> upstreams.put(new UpstreamEntry(
                    new UpstreamId("in-" + dataCentre, 1),
                    SERVICE,
                    new Address("10.0.0.1", 1),
                    dataCentre,
                    8,
                    false,
                    1)));
            if (reachesPlatform()) {
                readAll();
            }
        }

        private void changeReported(DataCentreId dataCentre, long changed, boolean removed) {
            UpstreamTable receiver = upstreams;
            if (!isReader() || !reachesPlatform()) {
                return;
            }
            time.at(time.nowMillis() + upTo(MAX_DELAY_MILLIS), () -> {
                if (removed) {
                    receiver.evacuations().remove(dataCentre, changed);
                } else {
                    receiver.evacuations().put(dataCentre, changed);
                }
                // Changes overtake each other here, so a later one does not prove that the earlier ones are known.
                if (changed == receiver.revision() + 1) {
                    receiver.changesKnownUpTo(changed);
                } else if (receiver == upstreams && reachesPlatform()) {
                    readAll();
                }
            });
        }

        private void readAll() {
            List<Evacuation> all = new ArrayList<>();
            listed.forEach((dataCentre, since) -> all.add(Evacuation.listed(dataCentre, since)));
            table().replaceAll(all, revision, time.nowMillis());
            upstreams.changesKnownUpTo(revision);
        }

        private void compareWithOthers() {
            RouterModel other = routers.stream()
                    .filter(router -> !faulty(Fault.SPLIT) || place % 2 == router.place % 2)
                    .max(Comparator.comparingLong(router -> router.upstreams.revision()))
                    .orElseThrow();
            if (other.upstreams.revision() > upstreams.revision()) {
                List<Evacuation> all = other.table().all();
                long known = other.upstreams.revision();
                UpstreamTable receiver = upstreams;
                time.at(time.nowMillis() + upTo(HEARTBEAT_MILLIS), () -> {
                    if (known >= receiver.revision()) {
                        receiver.evacuations().replaceAll(all, known, time.nowMillis());
                        receiver.changesKnownUpTo(known);
                    }
                });
            }
        }

        private void check() {
            if (!reachesPlatform()) {
                inTouchFromMillis = time.nowMillis();
            }
            for (DataCentreId dataCentre : DATA_CENTRES) {
                boolean used = upstreams.usable(SERVICE).stream()
                        .anyMatch(entry -> entry.dataCentre().equals(dataCentre));
                if (used == listed.containsKey(dataCentre)) {
                    long since = Math.max(changedMillis.getOrDefault(dataCentre, 0L), inTouchFromMillis);
                    longestDisobeyedMillis = Math.max(longestDisobeyedMillis, time.nowMillis() - since);
                }
            }
        }
    }
}
