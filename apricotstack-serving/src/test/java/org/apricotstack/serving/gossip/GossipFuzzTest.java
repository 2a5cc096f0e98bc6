package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.serving.BoundedThread;
import org.apricotstack.serving.ForeignBytes;
import org.apricotstack.wire.news.Avoided;
import org.apricotstack.wire.news.DataCentreEvacuation;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NamedLimit;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.apricotstack.wire.news.Part;
import org.apricotstack.wire.news.Placed;
import org.apricotstack.wire.news.PublishedDocument;
import org.apricotstack.wire.news.RequestHashes;
import org.apricotstack.wire.news.Trial;
import org.apricotstack.wire.news.UpstreamEnded;

import static org.assertj.core.api.Assertions.assertThat;

/** Bytes of other routers that no router sends. */
class GossipFuzzTest {

    private static final ProcessId SENDER = new ProcessId(new HostId("host-1"), 1);
    private static final long NOW_MILLIS = 1_000;

    private static final NewsFrame FRAME = NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder()
                    .setHost("host-1")
                    .setIncarnation(1)
                    .setDataCentre("east")
                    .setCallerAddress("10.0.0.1:80")
                    .setPeerAddress("[::1]:81")
                    .setRequestsPerSecond(7.5f))
            .addPlaced(Placed.newBuilder()
                    .setNumber(1)
                    .addParts(Part.newBuilder().setEngine("engine-1").setMemoryTokens(5)))
            .addAvoided(Avoided.newBuilder().setUpstream("upstream-1").setAvoidMillis(9))
            .addUpstreamEnded(UpstreamEnded.newBuilder()
                    .setUpstream("upstream-1")
                    .setService("plain")
                    .addParts(3)
                    .addRequests(RequestHashes.newBuilder().setHead(1).setBody(2)))
            .addTrials(Trial.newBuilder()
                    .setUpstream("upstream-1")
                    .setRequest(RequestHashes.newBuilder().setHead(1).setBody(2)))
            .addLimits(NamedLimit.newBuilder()
                    .setUpstream("upstream-1")
                    .setPerSecond(4)
                    .setAgoMillis(3))
            .build();

    private static final NewsReply REPLY = NewsReply.newBuilder()
            .addUpstreams(PublishedDocument.newBuilder().setName("upstream-1").setRevision(5))
            .addEvacuations(
                    DataCentreEvacuation.newBuilder().setDataCentre("east").setHeldMillis(8))
            .build();

    @Property(seed = "67")
    void endsAStreamWithADecoderExceptionAtMost(@ForAll long seed) {
        BoundedThread.run(() -> {
            receive(new ForeignBytes(seed), framed(FRAME), NewsFrame.getDefaultInstance());
            receive(new ForeignBytes(seed), framed(REPLY), NewsReply.getDefaultInstance());
        });
    }

    /** Returns a message with its length before it. */
    private static byte[] framed(MessageLite message) {
        byte[] bytes = message.toByteArray();
        return Unpooled.buffer()
                .writeInt(bytes.length)
                .writeBytes(bytes)
                .capacity(Integer.BYTES + bytes.length)
                .array();
    }

    /** Closes its stream at the first error. */
    private static final class Receiver extends ChannelInboundHandlerAdapter {
        private final List<Throwable> failures = new ArrayList<>();

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failures.add(cause);
            context.close();
        }
    }

    private static void receive(ForeignBytes foreign, byte[] valid, MessageLite type) {
        EmbeddedChannel channel = new EmbeddedChannel();
        Receiver receiver = new Receiver();
        GossipFraming.addHandlers(channel, type, receiver);
        byte[] bytes = foreign.next(valid);
        for (int at = 0; at < bytes.length && channel.isOpen(); ) {
            int piece = foreign.nextPiece(bytes.length - at);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, piece));
            at += piece;
        }
        channel.close();
        assertThat(receiver.failures).allMatch(DecoderException.class::isInstance);
        assertThat(channel.inboundMessages()).allMatch(type.getClass()::isInstance);
    }

    @Property(seed = "67")
    void decodesAFrameOrRejectsItWithATypedError(@ForAll long seed) {
        BoundedThread.run(() -> {
            try {
                decode(NewsFrame.parseFrom(new ForeignBytes(seed).next(FRAME.toByteArray())));
                decode(NewsReply.parseFrom(new ForeignBytes(seed).next(REPLY.toByteArray())));
            } catch (InvalidProtocolBufferException e) {
                assertThat(e.getMessage()).isNotEmpty();
            }
        });
    }

    private static void decode(NewsFrame frame) {
        attempt(() -> GossipMessages.peer(
                new ProcessId(
                        new HostId(frame.getHeartbeat().getHost()),
                        frame.getHeartbeat().getIncarnation()),
                frame.getHeartbeat()));
        frame.getPlacedList().forEach(placed -> attempt(() -> GossipMessages.placement(SENDER, placed)));
        frame.getAvoidedList().forEach(avoided -> attempt(() -> GossipMessages.upstream(avoided)));
        frame.getUpstreamEndedList().forEach(ended -> {
            attempt(() -> SuspectMessages.upstream(ended));
            attempt(() -> SuspectMessages.parts(ended));
            ended.getRequestsList().forEach(hashes -> attempt(() -> SuspectMessages.digest(hashes)));
        });
        frame.getTrialsList().forEach(trial -> {
            attempt(() -> SuspectMessages.trait(trial));
            attempt(() -> SuspectMessages.upstream(trial));
        });
        frame.getLimitsList().forEach(limit -> {
            attempt(() -> LimitMessages.upstream(limit));
            attempt(() -> LimitMessages.limit(limit, NOW_MILLIS));
        });
    }

    private static void decode(NewsReply reply) {
        reply.getUpstreamsList().forEach(document -> attempt(() -> GossipMessages.publication(document)));
        reply.getEvacuationsList()
                .forEach(evacuation -> attempt(() -> GossipMessages.evacuation(evacuation, NOW_MILLIS)));
    }

    @Property(seed = "67")
    void decodesNoNegativeLimit(@ForAll double perSecond, @ForAll long agoMillis) {
        NamedLimit limit = NamedLimit.newBuilder()
                .setPerSecond(perSecond)
                .setAgoMillis(agoMillis)
                .build();
        assertThat(LimitMessages.limit(limit, NOW_MILLIS).perSecond()).isNotNegative();
        assertThat(LimitMessages.atMillis(limit, NOW_MILLIS)).isLessThanOrEqualTo(NOW_MILLIS);
    }

    /** Runs a decoder that declares only {@link ApricotException}. */
    private static void attempt(Runnable decoder) {
        try {
            decoder.run();
        } catch (ApricotException e) {
            assertThat(e.getMessage()).isNotEmpty();
        }
    }
}
