package org.apricotstack.router;

import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.admin.AdminEndpoint.Question;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.entry.AdmittedRequest;
import org.apricotstack.core.entry.GroupFinder;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.time.Deadline;

/** Explains to operators how a request would be routed, and why, without running it. */
final class Explainer {

    private final RouterAssembly parts;

    /** Creates an explainer. */
    Explainer(RouterAssembly parts) {
        this.parts = parts;
    }

    /** Explains one request. */
    ObjectNode explain(Question question) {
        ObjectNode answer = Json.STRICT.createObjectNode();
        FleetConfiguration configuration = parts.replication.configuration();
        if (configuration == null) {
            return refused(answer, RefusalReason.NO_CONFIGURATION);
        }
        ClientAccount account = configuration.account(new ClientAccountId(question.account()));
        Service service = configuration.service(new ServiceId(question.service()));
        if (account == null) {
            return refused(answer, RefusalReason.UNAUTHENTICATED);
        }
        if (service == null || !account.services().contains(service.id())) {
            return refused(answer, RefusalReason.UNKNOWN_SERVICE);
        }
        if (configuration.preset().sheds(service)) {
            return refused(answer, RefusalReason.SHED_BY_PRESET);
        }
        LengthClass lengthClass = configuration.limits().lengthClass(question.promptTokens());
        Work work = new Work(
                account.id(),
                service.id(),
                question.promptTokens(),
                question.outputTokens(),
                List.of(),
                new byte[0],
                null,
                service.repeatable(),
                configuration.version());
        Deadline deadline = Deadline.in(parts.runtime.clock(), service.timeLimitMillis());
        AdmittedRequest request =
                new AdmittedRequest(new RequestId("explain"), work, service, lengthClass, deadline, configuration);
        answer.put("lengthClass", lengthClass.name())
                .put("preset", configuration.presetId().value())
                .put("configurationVersion", configuration.version())
                .put("timeLimitMillis", service.timeLimitMillis())
                .put("repeatable", service.repeatable());
        candidates(answer, request);
        return decide(answer, request);
    }

    /** Lists the candidate groups. */
    private void candidates(ObjectNode answer, AdmittedRequest request) {
        ArrayNode candidates = answer.putArray("candidates");
        for (Group group : request.configuration().groups(request.service())) {
            HostId owner = parts.ownership.owner(group, parts.membership.view(), Set.of());
            candidates
                    .addObject()
                    .put("group", group.id().value())
                    .put("dataCentre", group.dataCentre().value())
                    .put("owner", owner == null ? null : owner.value())
                    .put("canHold", GroupFinder.canHold(request.configuration(), group, request))
                    .put("expectedDelayMillis", parts.loads.expectedDelayMillis(group.id(), request.lengthClass()));
        }
    }

    /** Adds the group that would be chosen. */
    private ObjectNode decide(ObjectNode answer, AdmittedRequest request) {
        GroupFinder.Target target = parts.finder.choose(request, Set.of(), Set.of());
        if (target == null) {
            return refused(answer, RefusalReason.NO_GROUP);
        }
        return answer.put("decision", "dispatch")
                .put("group", target.group().id().value())
                .put("owner", target.owner().value())
                .put("reason", target.reason().name());
    }

    /** Adds the reason why the request would be refused. */
    private static ObjectNode refused(ObjectNode answer, RefusalReason reason) {
        return answer.put("decision", "refuse")
                .put("code", reason.code())
                .put("title", reason.title())
                .put("remedy", reason.remedy());
    }
}
