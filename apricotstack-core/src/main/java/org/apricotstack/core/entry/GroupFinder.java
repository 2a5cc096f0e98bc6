package org.apricotstack.core.entry;

import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.routing.GroupChoice;
import org.apricotstack.core.routing.GroupChooser;
import org.apricotstack.core.routing.GroupLoadTable;
import org.apricotstack.core.routing.GroupOwnership;
import org.apricotstack.core.routing.GroupSampler;
import org.apricotstack.core.routing.RoutingRequest;

/** Chooses the group and the owner for an attempt. */
public final class GroupFinder {

    private final DataCentreId local;
    private final Supplier<MemberView> views;
    private final GroupOwnership ownership;
    private final GroupLoadTable loads;
    private final GroupChooser chooser;
    private final GroupSampler sampler;

    /**
     * Creates a finder.
     *
     * @param local data centre of this router
     * @param views the current membership view
     * @param ownership determines the owners of groups
     * @param loads loads of the groups
     * @param chooser chooses among the sampled groups
     * @param random source of random numbers for sampling groups
     */
    public GroupFinder(
            DataCentreId local,
            Supplier<MemberView> views,
            GroupOwnership ownership,
            GroupLoadTable loads,
            GroupChooser chooser,
            LongSupplier random) {
        this.local = local;
        this.views = views;
        this.ownership = ownership;
        this.loads = loads;
        this.chooser = chooser;
        this.sampler = new GroupSampler(local, random);
    }

    /**
     * Chooses a group and its owner.
     *
     * @param request the request
     * @param avoidedGroups groups that have just failed the request
     * @param avoidedHosts routers that have just failed the request
     * @return where to send the attempt, or {@code null} if no group or no router is available
     */
    public Target choose(AdmittedRequest request, Set<GroupId> avoidedGroups, Set<HostId> avoidedHosts) {
        FleetConfiguration configuration = request.configuration();
        GroupSampler.Sample sample = sampler.sample(
                configuration,
                request.service(),
                request.work().prefixFingerprints(),
                group -> !avoidedGroups.contains(group.id())
                        && !loads.isKnownEmpty(group.id())
                        && canHold(configuration, group, request));
        if (sample.groups().isEmpty()) {
            return null;
        }
        GroupChoice choice = chooser.choose(new RoutingRequest(
                sample.groups(), request.lengthClass(), request.work().promptTokens(), sample.affinity(), local));
        HostId owner = ownership.owner(choice.group(), views.get(), avoidedHosts);
        return owner == null ? null : new Target(choice.group(), owner, choice.reason());
    }

    /**
     * Tells whether the memory of a group is large enough for a request if the group has no other work.
     *
     * @param configuration the configuration
     * @param group the group
     * @param request the request
     * @return whether the engines of the group together have enough memory
     */
    public static boolean canHold(FleetConfiguration configuration, Group group, AdmittedRequest request) {
        if (group.kind() == ServiceKind.PLAIN) {
            return true;
        }
        long neededTokens = request.work().promptTokens() + request.work().outputTokens();
        double usableShare = 1 - configuration.preset().shortShare();
        return neededTokens <= configuration.memoryTokens(group.id()) * usableShare;
    }

    /**
     * Where to send an attempt.
     *
     * @param group the group
     * @param owner the router that owns it
     * @param reason why the group was chosen
     */
    public record Target(Group group, HostId owner, GroupChoice.Reason reason) {}
}
