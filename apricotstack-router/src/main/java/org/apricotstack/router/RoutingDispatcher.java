package org.apricotstack.router;

import java.util.function.Supplier;

import org.apricotstack.adapters.peer.GrpcPeerClient;
import org.apricotstack.adapters.peer.SubmitCommand;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.entry.AttemptDispatcher;
import org.apricotstack.core.entry.TicketForwarder;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.owner.OwnerService;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.ticket.Ticket;
import org.apricotstack.core.time.Deadline;
import reactor.core.publisher.Flux;

/**
 * Dispatches attempts to the owners of groups, in this process or over the network, and forwards requests with tickets
 * to the issuers of the tickets.
 */
final class RoutingDispatcher implements AttemptDispatcher, TicketForwarder {

    private final HostId self;
    private final OwnerService owners;
    private final GrpcPeerClient peers;
    private final Supplier<MemberView> views;

    /**
     * Creates a dispatcher.
     *
     * @param self this router
     * @param owners the groups that this router owns
     * @param peers calls other routers
     * @param views the current membership view
     */
    RoutingDispatcher(HostId self, OwnerService owners, GrpcPeerClient peers, Supplier<MemberView> views) {
        this.self = self;
        this.owners = owners;
        this.peers = peers;
        this.views = views;
    }

    @Override
    public Flux<AttemptEvent> dispatch(HostId owner, DispatchCommand command) {
        if (owner.equals(self)) {
            return owners.dispatch(command);
        }
        RosterHost target = views.get().roster().routers().get(owner);
        if (target == null) {
            return Flux.error(Refusal.notRun(RefusalReason.OWNER_UNREACHABLE, 0).toException());
        }
        return peers.dispatch(target, command);
    }

    @Override
    public void replaceConnection(HostId owner, long sentNanos) {
        if (!owner.equals(self)) {
            peers.replace(owner, sentNanos);
        }
    }

    @Override
    public Flux<AttemptEvent> forward(RequestId id, Ticket ticket, Work work, Deadline deadline) {
        RosterHost target = views.get().roster().routers().get(ticket.issuer().host());
        if (target == null) {
            return Flux.error(Refusal.unknown(RefusalReason.TICKET_HOME_LOST).toException());
        }
        return peers.submit(target, new SubmitCommand(id, ticket.toString(), work, deadline))
                .onErrorMap(
                        error -> Refusal.unknown(RefusalReason.TICKET_HOME_LOST).toException());
    }
}
