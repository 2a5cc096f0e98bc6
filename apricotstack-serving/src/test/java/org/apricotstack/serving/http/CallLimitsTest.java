package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests, in virtual time, when a call is given up whose response arrives slowly. */
class CallLimitsTest {

    private static final CallLimits LIMITS = new CallLimits(1_500, 10_000);
    private static final int PART_CHARS = 100;
    private static final int PARTS = 6;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private ServingLoop loop;
    private HttpCalls calls;
    private long nowMillis;
    private HttpCalls.Response response;
    private Throwable failure;

    @BeforeEach
    void call() {
        channel.freezeTime();
        loop = new ServingLoop(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis), channel.eventLoop());
        ConnectionOpener opener = new ConnectionOpener() {
            @Override
            public Future<OpenedConnection> open(Address address, int timeoutMillis) {
                return loop.loop().newSucceededFuture(new OpenedConnection(channel, null));
            }
        };
        calls = new HttpCalls(loop, new UpstreamConnections(loop, opener, new LinkTable(), unmatched -> {}));
    }

    private Mono<HttpCalls.Response> newCall() {
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        return calls.call(new Address("127.0.0.1", 1), request, new byte[0], LIMITS, true, head -> {});
    }

    private void subscribe(Mono<HttpCalls.Response> call) {
        OutcomeSubscriber.subscribe(loop, call, result -> response = result, thrown -> failure = thrown);
        channel.runPendingTasks();
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void advance(long millis) {
        nowMillis += millis;
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    /** Guards against a large document that no router ever reads whole, as each read begins anew. */
    @Test
    void waitsForAResponseThatKeepsArriving() {
        subscribe(newCall());
        receive("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS * PART_CHARS + "\r\n\r\n");
        for (int i = 0; i < PARTS; i++) {
            advance(LIMITS.silenceMillis() - 1);
            receive("x".repeat(PART_CHARS));
        }
        assertThat(failure).isNull();
        assertThat(response.body()).hasSize(PARTS * PART_CHARS);
    }

    @Test
    void givesUpAfterASilence() {
        subscribe(newCall());
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho");
        advance(LIMITS.silenceMillis() - 1);
        assertThat(failure).isNull();
        advance(1);
        assertThat(failure).hasMessageContaining("did not answer in 1500 ms");
    }

    @Test
    void givesUpAResponseWithoutEnd() {
        subscribe(newCall());
        receive("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        for (long waited = 0; waited < LIMITS.totalMillis(); waited += 1_000) {
            assertThat(failure).isNull();
            receive("x");
            advance(1_000);
        }
        assertThat(failure).hasMessageContaining("did not answer in 10000 ms");
    }

    /** Guards against a reader of the platform that waits for an outcome that was lost after a whole response. */
    @Test
    void noticesALostOutcomeSoonAfterTheSilenceThatIsAllowed() {
        subscribe(newCall().flatMap(lost -> Mono.never()));
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        advance(LIMITS.silenceMillis() + OutcomeSubscriber.GRACE_MILLIS);
        assertThat(failure).hasMessageContaining("was not handled in time");
    }
}
