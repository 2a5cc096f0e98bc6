package org.apricotstack.router;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.dispatch.UpstreamStatus;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.owner.OwnerService;
import org.apricotstack.core.replication.DocumentReplica;
import org.apricotstack.core.replication.ReplicationTopic;

/** Creates the status document of a router for operators. */
final class StatusReport {

    private final ProcessId self;
    private final DataCentreId dataCentre;
    private final ReplicationService replication;
    private final MembershipService membership;
    private final MembershipTable table;
    private final OwnerService owners;

    /** Creates a report that reads the given components. */
    StatusReport(
            ProcessId self,
            DataCentreId dataCentre,
            ReplicationService replication,
            MembershipService membership,
            MembershipTable table,
            OwnerService owners) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.replication = replication;
        this.membership = membership;
        this.table = table;
        this.owners = owners;
    }

    /** Returns the current status. */
    ObjectNode write(String stage, long activeRequests) {
        ObjectNode status = Json.STRICT
                .createObjectNode()
                .put("host", self.host().value())
                .put("incarnation", self.incarnation())
                .put("dataCentre", dataCentre.value())
                .put("stage", stage)
                .put("serving", replication.isOpen())
                .put("activeRequests", activeRequests);
        status.set("configuration", configuration());
        status.set("members", members());
        status.set("groups", groups());
        return status;
    }

    /** Returns the configuration in force, and the rejected one if there is any. */
    private ObjectNode configuration() {
        FleetConfiguration current = replication.configuration();
        ObjectNode node = Json.STRICT.createObjectNode();
        node.put("version", current == null ? 0 : current.version());
        node.put("preset", current == null ? null : current.presetId().value());
        node.put("ageMillis", current == null ? null : replication.ageMillis());
        node.put("rosterVersion", replication.roster().version());
        DocumentReplica.Rejection rejection =
                replication.replica(ReplicationTopic.CONFIGURATION).rejection();
        if (rejection != null && (current == null || rejection.version() > current.version())) {
            ObjectNode rejected = node.putObject("rejected").put("version", rejection.version());
            ArrayNode problems = rejected.putArray("problems");
            rejection.problems().forEach(problem -> problems.add(problem.toString()));
        }
        return node;
    }

    /** Returns the state of each router as known here. */
    private ArrayNode members() {
        ArrayNode members = Json.STRICT.createArrayNode();
        MemberView view = membership.view();
        for (RosterHost host : view.roster().routers().values()) {
            members.addObject()
                    .put("host", host.id().value())
                    .put("dataCentre", host.dataCentre().value())
                    .put("state", table.state(host.id()).name())
                    .put("listedLeaving", host.leaving());
        }
        return members;
    }

    /** Returns the queues and upstreams of the groups that have work here. */
    private ArrayNode groups() {
        ArrayNode groups = Json.STRICT.createArrayNode();
        owners.owners().forEach((id, owner) -> {
            var state = owner.status();
            ObjectNode group = groups.addObject()
                    .put("group", id.value())
                    .put("waiting", state.waiting())
                    .put("running", state.running())
                    .put("shortDelayMillis", state.load().shortDelayMillis())
                    .put("longDelayMillis", state.load().longDelayMillis());
            ArrayNode upstreams = group.putArray("upstreams");
            for (UpstreamStatus upstream : state.upstreams()) {
                upstreams
                        .addObject()
                        .put("upstream", upstream.upstream().value())
                        .put("streams", upstream.streams())
                        .put("heldTokens", upstream.heldTokens())
                        .put("leaving", upstream.leaving())
                        .put("outOfUse", upstream.ejected());
            }
        });
        return groups;
    }
}
