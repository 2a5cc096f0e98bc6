package org.apricotstack.serving.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.observe.ConnectionCloseCause;

/** A server over loopback whose clock, limits and handler the test sets. */
final class CallerServerFixture implements AutoCloseable {

    static final String ID = "id-1";

    static final int MAX_CONNECTIONS = 10;

    private static final long READ_BEFORE_CLOSE_MILLIS = 20;

    private volatile long nowMillis;
    private volatile CallerLimits limits = CallerLimits.DEFAULT;
    private volatile CallerHandler handler = CallerServerFixture::answer;
    private final List<ConnectionClose> closes = new CopyOnWriteArrayList<>();
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final CallerServer server = new CallerServer(
            loop,
            CallerServerFixture::readRequest,
            (request, exchange) -> handler.open(request, exchange),
            () -> limits,
            MAX_CONNECTIONS,
            closes::add);
    private final Address address = server.listen(new Address("127.0.0.1", 0));

    private static CallerRequest readRequest(HttpRequest head) {
        return new CallerRequest(ID, "", head.uri(), null, CallerRequest.NO_TIMEOUT, null, 0, 0, List.of(), head);
    }

    /** Answers a request as soon as its headers have arrived. */
    static CallerRequestListener answer(CallerRequest request, CallerExchange exchange) {
        exchange.answer(HttpResponseStatus.OK, new DefaultHttpHeaders(), CallerExchange.emptyBody());
        return DiscardingRequestListener.INSTANCE;
    }

    CallerServer server() {
        return server;
    }

    ServingLoop loop() {
        return loop;
    }

    Address address() {
        return address;
    }

    void handler(CallerHandler next) {
        handler = next;
    }

    void limits(CallerLimits next) {
        limits = next;
    }

    CallerLimits limits() {
        return limits;
    }

    void advance(long millis) {
        nowMillis += millis;
    }

    List<ConnectionCloseCause> causes() {
        return closes.stream().map(ConnectionClose::cause).toList();
    }

    List<ConnectionClose> closes() {
        return closes;
    }

    /** Runs a task on the loop and waits for its end. */
    void run(Runnable task) {
        CompletableFuture.runAsync(task, loop.loop()).join();
    }

    /** Waits until a connection that was found idle before has been closed or kept. */
    void awaitIdleCheck() {
        CountDownLatch checked = new CountDownLatch(1);
        loop.schedule(READ_BEFORE_CLOSE_MILLIS, checked::countDown);
        await(checked);
    }

    /** Waits until bytes of a request have arrived that is not complete. */
    void awaitArriving() {
        boolean arriving = false;
        while (!arriving) {
            arriving = CompletableFuture.supplyAsync(() -> server.unsettled() == 1, loop.loop())
                    .join();
        }
    }

    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        server.close();
        loop.close();
    }
}
