package org.apricotstack.adapters.peer;

import com.google.protobuf.UnsafeByteOperations;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.routing.GroupLoad;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.wire.AttemptEvent;
import org.apricotstack.wire.Chunk;
import org.apricotstack.wire.Completed;
import org.apricotstack.wire.Head;
import org.apricotstack.wire.Heartbeat;
import org.apricotstack.wire.Queued;
import org.apricotstack.wire.Refused;
import org.apricotstack.wire.Started;

/** Converts the events of attempts to and from the protocol buffers that routers exchange. */
final class EventMessages {

    private EventMessages() {}

    /** Encodes an event. */
    static AttemptEvent encode(org.apricotstack.core.stream.AttemptEvent event) {
        AttemptEvent.Builder message =
                AttemptEvent.newBuilder().setAttempt(event.attempt().toString());
        if (event.load() != null) {
            message.setLoad(load(event.load()));
        }
        AttemptSignal signal = event.signal();
        if (signal instanceof AttemptSignal.Queued) {
            message.setQueued(Queued.getDefaultInstance());
        } else if (signal instanceof AttemptSignal.Started started) {
            message.setStarted(
                    Started.newBuilder().setUpstream(started.upstream().value()));
        } else if (signal instanceof AttemptSignal.Head head) {
            Head.Builder builder = Head.newBuilder().setStatus(head.status());
            head.headers().forEach(header -> builder.addHeaders(PeerMessages.header(header)));
            message.setHead(builder);
        } else if (signal instanceof AttemptSignal.Chunk chunk) {
            message.setChunk(Chunk.newBuilder()
                    .setOffset(chunk.offset())
                    .setCount(chunk.count())
                    .setData(UnsafeByteOperations.unsafeWrap(chunk.data())));
        } else if (signal instanceof AttemptSignal.Completed completed) {
            message.setCompleted(completed(completed));
        } else if (signal instanceof AttemptSignal.Refused refused) {
            message.setRefused(refused(refused));
        } else {
            message.setHeartbeat(Heartbeat.getDefaultInstance());
        }
        return message.build();
    }

    /** Encodes the completion of an answer. */
    private static Completed completed(AttemptSignal.Completed completed) {
        return Completed.newBuilder()
                .setTotal(completed.total())
                .setPromptTokens(completed.promptTokens())
                .setCachedTokens(completed.cachedTokens())
                .setFinishReason(completed.finishReason())
                .build();
    }

    /** Encodes a refusal. */
    private static Refused refused(AttemptSignal.Refused refused) {
        Refusal refusal = refused.refusal();
        return Refused.newBuilder()
                .setReason(refusal.reason().name())
                .setNotRun(refusal.outcome() == Outcome.NOT_RUN)
                .setRetryAfterMillis(refusal.retryAfterMillis())
                .setDetail(refusal.detail())
                .setUpstream(
                        refused.upstream() == null ? "" : refused.upstream().value())
                .build();
    }

    /** Encodes the load of a group. */
    private static org.apricotstack.wire.GroupLoad load(GroupLoad load) {
        return org.apricotstack.wire.GroupLoad.newBuilder()
                .setGroup(load.group().value())
                .setShortDelayMillis(load.shortDelayMillis())
                .setLongDelayMillis(load.longDelayMillis())
                .setLiveUpstreams(load.liveUpstreams())
                .build();
    }

    /** Decodes an event. */
    static org.apricotstack.core.stream.AttemptEvent decode(AttemptEvent message) {
        return new org.apricotstack.core.stream.AttemptEvent(
                AttemptId.parse(message.getAttempt()),
                message.hasLoad() ? load(message.getLoad()) : null,
                signal(message));
    }

    /** Decodes the signal of an event. An event type of a later protocol version counts as a heartbeat. */
    private static AttemptSignal signal(AttemptEvent message) {
        return switch (message.getEventCase()) {
            case QUEUED -> new AttemptSignal.Queued();
            case STARTED -> new AttemptSignal.Started(
                    new UpstreamId(message.getStarted().getUpstream()));
            case HEAD -> new AttemptSignal.Head(
                    message.getHead().getStatus(),
                    PeerMessages.headers(message.getHead().getHeadersList()));
            case CHUNK -> new AttemptSignal.Chunk(
                    message.getChunk().getOffset(),
                    message.getChunk().getCount(),
                    PeerMessages.bytes(message.getChunk().getData()));
            case COMPLETED -> new AttemptSignal.Completed(
                    message.getCompleted().getTotal(),
                    message.getCompleted().getPromptTokens(),
                    message.getCompleted().getCachedTokens(),
                    message.getCompleted().getFinishReason());
            case REFUSED -> refused(message.getRefused());
            default -> new AttemptSignal.Heartbeat();
        };
    }

    /** Decodes a refusal; a reason of a later protocol version becomes an internal error. */
    private static AttemptSignal.Refused refused(Refused message) {
        RefusalReason reason;
        try {
            reason = RefusalReason.valueOf(message.getReason());
        } catch (IllegalArgumentException e) {
            reason = RefusalReason.INTERNAL_ERROR;
        }
        Outcome outcome = message.getNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return new AttemptSignal.Refused(
                new Refusal(reason, outcome, message.getRetryAfterMillis(), message.getDetail()),
                message.getUpstream().isEmpty() ? null : new UpstreamId(message.getUpstream()));
    }

    /** Decodes the load of a group. */
    private static GroupLoad load(org.apricotstack.wire.GroupLoad message) {
        return new GroupLoad(
                new GroupId(message.getGroup()),
                message.getShortDelayMillis(),
                message.getLongDelayMillis(),
                message.getLiveUpstreams());
    }
}
