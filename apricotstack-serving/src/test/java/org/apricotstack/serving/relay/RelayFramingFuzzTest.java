package org.apricotstack.serving.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.BoundedThread;
import org.apricotstack.serving.ForeignBytes;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests for relayed connections that no router sends. */
class RelayFramingFuzzTest {

    private static final byte[] REQUEST = ByteBufUtil.getBytes(RelayFraming.request(new Address("10.0.0.1", 8080)));

    @Property(seed = "67")
    void readsAnAddressOrRejectsTheRequestWithATypedError(@ForAll long seed) {
        BoundedThread.run(() -> read(Unpooled.wrappedBuffer(new ForeignBytes(seed).next(REQUEST))));
    }

    private static void read(ByteBuf request) {
        int bytes = request.readableBytes();
        if (bytes >= Integer.BYTES) {
            RelayFraming.isRequest(request);
        }
        try {
            Address upstream = RelayFraming.readAddress(request);
            assertThat(upstream == null).isEqualTo(request.readableBytes() == bytes);
        } catch (ApricotException e) {
            assertThat(e.getMessage()).isNotEmpty();
        }
    }

    @Property(seed = "67")
    void takesNoUnknownAnswerForAConnection(@ForAll byte code) {
        assertThat(RelayReply.of(code) == RelayReply.CONNECTED).isEqualTo(code == 0);
    }
}
