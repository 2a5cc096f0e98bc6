package org.apricotstack.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.routing.GroupChoice;
import org.apricotstack.core.routing.GroupChooser;
import org.apricotstack.core.routing.GroupOwnership;
import org.apricotstack.core.routing.LoadTable;
import org.apricotstack.core.routing.RoutingRequest;

/** Finds the group and the owner for an attempt. */
public final class GroupFinder {

    private final DataCentreId local;
    private final Supplier<MemberView> views;
    private final GroupOwnership ownership;
    private final LoadTable loads;
    private final GroupChooser chooser;

    /**
     * Creates a finder.
     *
     * @param local data centre of this router
     * @param views the picture of the routers
     * @param ownership tells owners
     * @param loads loads of the groups
     * @param chooser chooses among groups
     */
    public GroupFinder(
            DataCentreId local,
            Supplier<MemberView> views,
            GroupOwnership ownership,
            LoadTable loads,
            GroupChooser chooser) {
        this.local = local;
        this.views = views;
        this.ownership = ownership;
        this.loads = loads;
        this.chooser = chooser;
    }

    /**
     * Finds a group and its owner.
     *
     * @param request the request
     * @param avoidedGroups groups that have just failed the request
     * @param avoidedHosts routers that have just failed the request
     * @return where to send the attempt, or {@code null} if there is no such place
     */
    public Found find(AdmittedRequest request, Set<GroupId> avoidedGroups, Set<HostId> avoidedHosts) {
        List<Group> candidates = new ArrayList<>();
        for (Group group : request.configuration().groups(request.service())) {
            boolean usable = !avoidedGroups.contains(group.id()) && !loads.isKnownEmpty(group.id());
            if (usable && canHold(request.configuration(), group, request)) {
                candidates.add(group);
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        GroupChoice choice = chooser.choose(new RoutingRequest(
                candidates,
                request.lengthClass(),
                request.work().promptTokens(),
                request.work().prefixFingerprints(),
                local));
        HostId owner = ownership.owner(choice.group(), views.get(), avoidedHosts);
        return owner == null ? null : new Found(choice.group(), owner, choice.reason());
    }

    /**
     * Tells whether a group could hold a request if it had no other work.
     *
     * @param configuration the configuration
     * @param group the group
     * @param request the request
     * @return whether its engines together have the memory
     */
    public static boolean canHold(FleetConfiguration configuration, Group group, AdmittedRequest request) {
        if (group.kind() == ServiceKind.PLAIN) {
            return true;
        }
        long needed = request.work().promptTokens() + request.work().outputTokens();
        double usable = 1 - configuration.preset().shortShare();
        long memory = configuration.upstreams(group.id()).stream()
                .mapToLong(Upstream::memoryTokens)
                .sum();
        return needed <= memory * usable;
    }

    /**
     * Where to send an attempt.
     *
     * @param group the group
     * @param owner the router that owns it
     * @param reason why the group was chosen
     */
    public record Found(Group group, HostId owner, GroupChoice.Reason reason) {}
}
