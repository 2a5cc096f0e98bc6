package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotstack.adapters.configuration.JsonConfigurationValidator;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.dispatch.PrefixIndex;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.entry.AdmittedRequest;
import org.apricotstack.core.entry.GroupFinder;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentReplica;
import org.apricotstack.core.routing.GroupLoad;
import org.apricotstack.core.routing.GroupLoadTable;
import org.apricotstack.core.routing.GroupOwnership;
import org.apricotstack.core.routing.PrefixAffinityGroupChooser;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;

/** Measures state and decisions of one router as a function of the fleet size, without network. */
final class StateMeasurement {

    private static final List<Integer> ROUTERS = List.of(8, 80, 220, 440, 660);
    private static final double REPLICAS_PER_ROUTER = 5_500.0 / 660;
    private static final double ACCOUNTS_PER_ROUTER = 2_100.0 / 660;
    private static final int BLOCKS = 8;
    private static final int CHANGES = 20;
    private static final int DECISIONS = 4_000;
    private static final int PREFIXES = 4_096;
    private static final double NANOS_PER_MILLI = 1e6;

    private final List<Sample> samples = new ArrayList<>();

    /** Runs all measurements. */
    List<Sample> run() {
        for (int round = 0; round < 2; round++) {
            samples.clear();
            ROUTERS.forEach(this::measure);
        }
        prefixIndex();
        return samples;
    }

    /** Measures one fleet size. */
    private void measure(int routers) {
        FleetModel model = new FleetModel(routers, (int) Math.round(routers * REPLICAS_PER_ROUTER), (int)
                Math.round(routers * ACCOUNTS_PER_ROUTER));
        long heapBefore = MachineReadings.heapBytes();
        DocumentReplica<FleetConfiguration> replica = new DocumentReplica<>(new JsonConfigurationValidator());
        replica.offer(model.configuration());
        samples.add(
                new Sample("configuration-heap-bytes-by-routers", routers, MachineReadings.heapBytes() - heapBefore));
        changes(replica, routers);
        decisions(model, replica.value(), routers);
    }

    /** Measures the cost of validating and applying one changed document. */
    private void changes(DocumentReplica<FleetConfiguration> replica, int routers) {
        for (int block = 0; block < BLOCKS; block++) {
            long before = MachineReadings.threadNanos();
            long allocated = MachineReadings.allocatedBytes();
            for (int i = 0; i < CHANGES; i++) {
                long version = replica.version();
                Document changed = new Document("accounts/account-0", version + 1, FleetModel.account(0));
                replica.offer(new DocumentDelta(version, version + 1, false, List.of(changed), Map.of()));
            }
            double millis = (MachineReadings.threadNanos() - before) / NANOS_PER_MILLI / CHANGES;
            samples.add(new Sample("change-cpu-millis-by-routers", routers, millis));
            samples.add(new Sample(
                    "change-allocated-bytes-by-routers",
                    routers,
                    (double) (MachineReadings.allocatedBytes() - allocated) / CHANGES));
        }
    }

    /** Measures the cost of choosing a group and its owner. */
    private void decisions(FleetModel model, FleetConfiguration configuration, int routers) {
        MonotonicClock clock = System::nanoTime;
        GroupLoadTable loads = new GroupLoadTable(clock);
        MembershipTable table = new MembershipTable(new ProcessId(new HostId("router-0"), 1), 1_000);
        MemberView view = MemberView.of(1, model.roster(), table);
        GroupFinder finder = new GroupFinder(
                new DataCentreId("dc-0"),
                () -> view,
                new GroupOwnership(),
                loads,
                new PrefixAffinityGroupChooser(loads),
                RandomSource.SPLIT_MIX_64.create(1)::nextLong);
        configuration.parts().groups().keySet().forEach(group -> loads.record(new GroupLoad(group, 10, 100, 8)));
        Service service = configuration.service(new ServiceId("service-0"));
        for (int block = 0; block < 2 * BLOCKS; block++) {
            long before = MachineReadings.threadNanos();
            long allocated = MachineReadings.allocatedBytes();
            for (int i = 0; i < DECISIONS; i++) {
                finder.choose(request(configuration, service, clock, i), Set.of(), Set.of());
            }
            if (block >= BLOCKS) {
                samples.add(new Sample(
                        "decision-micros-by-routers",
                        routers,
                        (MachineReadings.threadNanos() - before) / 1e3 / DECISIONS));
                samples.add(new Sample(
                        "decision-allocated-bytes-by-routers",
                        routers,
                        (double) (MachineReadings.allocatedBytes() - allocated) / DECISIONS));
            }
        }
    }

    /** Creates a request with a unique prefix. */
    private static AdmittedRequest request(
            FleetConfiguration configuration, Service service, MonotonicClock clock, int number) {
        Work work = new Work(
                new ClientAccountId("account-0"),
                service.id(),
                3_000,
                100,
                List.of(number * 31L, number * 37L, number * 41L, number * 43L),
                new byte[0],
                null,
                true,
                1);
        return new AdmittedRequest(
                new RequestId("r" + number),
                work,
                service,
                LengthClass.SHORT,
                Deadline.in(clock, 1_000),
                configuration);
    }

    /** Measures the memory of the prefix index of one engine. */
    private void prefixIndex() {
        for (int entries = PREFIXES / 4; entries <= PREFIXES; entries += PREFIXES / 4) {
            long before = MachineReadings.heapBytes();
            List<PrefixIndex> indexes = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                PrefixIndex index = new PrefixIndex();
                List<Long> fingerprints = new ArrayList<>();
                for (long f = 0; f < entries; f++) {
                    fingerprints.add(f * 0x9E3779B97F4A7C15L + i);
                }
                index.add(fingerprints);
                indexes.add(index);
            }
            double bytes = (double) (MachineReadings.heapBytes() - before) / indexes.size();
            samples.add(new Sample("prefix-index-heap-bytes-by-entries", entries, bytes));
        }
    }
}
