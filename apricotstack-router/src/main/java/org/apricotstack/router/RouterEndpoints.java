package org.apricotstack.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.admin.AdminEndpoint;
import org.apricotstack.adapters.caller.CallerEndpoint;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.peer.PeerEndpoint;
import org.apricotstack.adapters.peer.SubmitCommand;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.entry.EntryRequest;
import org.apricotstack.core.entry.EntryService.Submission;
import org.apricotstack.core.entry.ForwardedAnswer;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.routing.EntryRouterSelector;
import org.apricotstack.core.stream.AttemptEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Handles the calls of callers, peers and operators. */
final class RouterEndpoints implements CallerEndpoint, PeerEndpoint, AdminEndpoint {

    /** Maximum number of routers that are returned to a caller. */
    private static final int MAX_ENTRIES = 8;

    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);

    private final RouterAssembly parts;
    private final Explainer explainer;
    private final EntryRouterSelector selector;

    /** Creates the endpoints. */
    RouterEndpoints(RouterAssembly parts) {
        this.parts = parts;
        this.explainer = new Explainer(parts);
        this.selector =
                new EntryRouterSelector(parts.settings.dataCentre(), parts.membership::isKnownToServe, MAX_ENTRIES);
    }

    @Override
    public EntryAnswer entries(String callerIp) {
        MemberView view = parts.membership.view();
        List<Address> addresses = selector.select(view, callerIp).stream()
                .map(host -> view.roster().routers().get(host).callerAddress())
                .toList();
        return new EntryAnswer(addresses, parts.entryKeepMillis());
    }

    @Override
    public IssuedTicket issueTicket(String keyDigest) {
        return new IssuedTicket(parts.entry.issueTicket(keyDigest), limits().ticketValidMillis());
    }

    @Override
    public Submission submit(EntryRequest request) {
        return parts.entry.submit(request);
    }

    @Override
    public long maxBodyBytes() {
        return limits().maxBodyBytes();
    }

    /** Returns the limits in force. */
    private FleetLimits limits() {
        FleetConfiguration current = parts.replication.configuration();
        return current == null ? FleetLimits.DEFAULT : current.limits();
    }

    @Override
    public Flux<AttemptEvent> dispatch(DispatchCommand command) {
        return parts.owners.dispatch(command);
    }

    @Override
    public Flux<AttemptEvent> submit(SubmitCommand command) {
        AttemptId id = ForwardedAnswer.attempt(command.request());
        return parts.entry
                .runForwarded(command.request(), command.ticket(), command.work(), command.deadline())
                .map(signal -> new AttemptEvent(id, signal))
                .onErrorResume(error -> {
                    Refusal refusal = RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR));
                    return Mono.just(AttemptEvent.refused(id, refusal, null));
                });
    }

    @Override
    public ProbeAnswer probe(ProbePayload payload) {
        parts.membership.receive(payload);
        return new ProbeAnswer(parts.membership.payload(), parts.runtime.clock().nanos());
    }

    @Override
    public Mono<Boolean> probeFor(HostId host) {
        RosterHost target = parts.replication.roster().routers().get(host);
        if (target == null) {
            return Mono.just(false);
        }
        return parts.detector.probe(target).thenReturn(true).onErrorReturn(false);
    }

    @Override
    public DocumentDelta documents(ReplicationTopic topic, long since) {
        return parts.replication.replica(topic).since(since);
    }

    @Override
    public double leaseLimit(ClientAccountId account, HostId host, long wantedTokens) {
        return parts.limits.lease(account, host, wantedTokens);
    }

    @Override
    public JsonNode statusTree() {
        return parts.status.write(parts.stop.stage().name(), parts.entry.active());
    }

    @Override
    public byte[] status() {
        return Json.write(statusTree()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public Mono<JsonNode> fleet() {
        MemberView view = parts.membership.view();
        return Flux.fromIterable(view.roster().routers().values())
                .flatMap(this::statusOf)
                .collectList()
                .map(statuses -> {
                    ObjectNode fleet = Json.STRICT.createObjectNode();
                    ArrayNode hosts = fleet.putArray("hosts");
                    statuses.forEach(hosts::add);
                    return fleet;
                });
    }

    /** Reads the status of one router. A router that does not answer is marked as such. */
    private Mono<JsonNode> statusOf(RosterHost host) {
        if (host.id().equals(parts.settings.host())) {
            return Mono.just(statusTree());
        }
        ObjectNode noAnswer =
                Json.STRICT.createObjectNode().put("host", host.id().value()).put("notHeardFrom", true);
        return parts.peers
                .status(host)
                .timeout(STATUS_TIMEOUT, parts.runtime.timer())
                .flatMap(bytes -> Mono.fromCallable(() -> Json.STRICT.readTree(bytes)))
                .onErrorReturn(noAnswer);
    }

    @Override
    public void drain() {
        parts.stop.drain();
    }

    @Override
    public JsonNode explain(Question question) {
        return explainer.explain(question);
    }
}
