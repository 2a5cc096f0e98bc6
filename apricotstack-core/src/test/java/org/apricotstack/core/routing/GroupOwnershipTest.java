package org.apricotstack.core.routing;

import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GroupOwnershipTest {

    private static final DataCentreId DATA_CENTRE = new DataCentreId("dc-a");
    private static final Group GROUP = new Group(new GroupId("group-1"), DATA_CENTRE, ServiceKind.COMPLETION, "model");

    /** Number of successive membership views. */
    private static final int VIEWS = 200;

    /** Number of concurrent threads. */
    private static final int THREADS = 6;

    private final GroupOwnership ownership = new GroupOwnership();

    private static MemberView view(long revision, HostId dead) {
        SortedMap<HostId, RosterHost> hosts = new TreeMap<>();
        for (int i = 1; i <= 2; i++) {
            HostId id = new HostId("router-" + i);
            Address address = new Address("127.0.0.1", i);
            hosts.put(id, new RosterHost(id, DATA_CENTRE, address, address, false));
        }
        Set<HostId> avoided = dead == null ? Set.of() : Set.of(dead);
        return new MemberView(revision, new Roster(1, hosts, Set.<UpstreamId>of()), avoided, Set.of());
    }

    @Test
    void givesTheGroupOfADeadRouterToAnother() {
        HostId first = ownership.owner(GROUP, view(1, null), Set.of());
        HostId next = ownership.owner(GROUP, view(2, first), Set.of());
        assertThat(List.of(first, next)).containsExactlyInAnyOrder(new HostId("router-1"), new HostId("router-2"));
        assertThat(ownership.owner(GROUP, view(3, null), Set.of())).isEqualTo(first);
    }

    /**
     * Guards against a group of a dead router whose engines no router manages, so that operators' orders never reach
     * them.
     *
     * <p>A thread with the view in which the router is alive was delayed just before it cached the owner, while another
     * thread brought the view in which the router is dead. The owner of the old view was then cached for the new one
     * until the next change.
     */
    @Test
    void cachesNoOwnerOfAnOlderView() throws InterruptedException {
        HostId first = ownership.owner(GROUP, view(0, null), Set.of());
        AtomicReference<MemberView> newest = new AtomicReference<>(view(0, null));
        AtomicLongArray lookups = new AtomicLongArray(THREADS);
        List<Thread> threads = IntStream.range(0, THREADS)
                .mapToObj(index -> new Thread(() -> lookUpUntilStopped(newest, lookups, index)))
                .toList();
        threads.forEach(Thread::start);
        int stale = 0;
        for (int revision = 1; revision <= VIEWS; revision++) {
            MemberView next = view(revision, revision % 2 == 0 ? null : first);
            newest.set(next);
            ownership.owner(GROUP, next, Set.of());
            awaitLookups(lookups);
            boolean dead = revision % 2 == 1;
            stale += dead && ownership.owner(GROUP, next, Set.of()).equals(first) ? 1 : 0;
        }
        newest.set(null);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(stale).as("owners that are dead in the newest view").isZero();
    }

    /** Looks up the owner repeatedly, each time with the newest view. */
    private void lookUpUntilStopped(AtomicReference<MemberView> newest, AtomicLongArray lookups, int index) {
        for (MemberView view = newest.get(); view != null; view = newest.get()) {
            ownership.owner(GROUP, view, Set.of());
            lookups.incrementAndGet(index);
        }
    }

    /**
     * Waits until each thread has finished a lookup that it started after this call, so that none uses an older view.
     */
    private static void awaitLookups(AtomicLongArray lookups) {
        long[] before = IntStream.range(0, THREADS).mapToLong(lookups::get).toArray();
        for (int index = 0; index < THREADS; index++) {
            while (lookups.get(index) < before[index] + 2) {
                Thread.onSpinWait();
            }
        }
    }
}
