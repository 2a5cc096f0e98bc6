package org.apricotstack.core.fleet;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulates connections between processes in virtual time. Each connection has a delay, may silently lose messages, and
 * breaks when one of its endpoints dies. A request may be delivered twice, as after a retry inside a library.
 */
public final class FaultyNetwork {

    private final VirtualTimeScheduler time;
    private final Random random;
    private final Set<String> cutLinks = new HashSet<>();
    private double duplicateShare;

    /** Creates a network without faults. */
    public FaultyNetwork(VirtualTimeScheduler time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Sets the share of requests that are delivered twice. */
    void duplicate(double share) {
        duplicateShare = share;
    }

    /** Cuts a link in both directions; messages are lost silently. */
    public void cut(String a, String b) {
        cutLinks.add(a + ">" + b);
        cutLinks.add(b + ">" + a);
    }

    /** Restores all links. */
    public void heal() {
        cutLinks.clear();
    }

    private boolean isUp(String from, String to) {
        return !cutLinks.contains(from + ">" + to);
    }

    /** Runs a task at the receiver after the delay of the link, if the link is up and the receiver is alive. */
    private void send(String from, String to, NodeScheduler receiver, Runnable task) {
        long delay = 1 + random.nextInt(10);
        time.schedule(
                () -> {
                    if (isUp(from, to)) {
                        receiver.run(task);
                    }
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    /** Makes a call whose answers come back as a stream. If the receiver is dead, the connection breaks. */
    public <E> Flux<E> call(NetworkNode from, NetworkNode to, Flux<E> work) {
        return Flux.create(sink -> {
            Call<E> call = new Call<>(from, to, sink);
            int copies = random.nextDouble() < duplicateShare ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                boolean original = i == 0;
                send(from.name(), to.name(), to.timer(), () -> call.deliver(work, original));
            }
            sink.onCancel(() -> send(from.name(), to.name(), to.timer(), call::cancel));
            call.watchReceiver();
        });
    }

    /**
     * A call in progress.
     *
     * @param <E> the type of its answers
     */
    private final class Call<E> {
        private final NetworkNode from;
        private final NetworkNode to;
        private final FluxSink<E> sink;
        private Disposable running;
        private boolean cancelled;
        private long nextSendMillis;

        private Call(NetworkNode from, NetworkNode to, FluxSink<E> sink) {
            this.from = from;
            this.to = to;
            this.sink = sink;
        }

        /** Runs the work at the receiver; the answers of a second copy are dropped. */
        private void deliver(Flux<E> work, boolean original) {
            if (cancelled) {
                return;
            }
            Disposable subscription = work.subscribe(
                    event -> reply(original, () -> sink.next(event)),
                    error -> reply(original, () -> sink.error(error)),
                    () -> reply(original, sink::complete));
            if (original) {
                running = subscription;
            }
        }

        /** Sends an answer back; answers of one connection keep their order. */
        private void reply(boolean original, Runnable answer) {
            if (!original) {
                return;
            }
            long due = Math.max(nextSendMillis, time.now(TimeUnit.MILLISECONDS) + 1 + random.nextInt(10));
            nextSendMillis = due;
            time.schedule(
                    () -> {
                        if (isUp(to.name(), from.name())) {
                            from.timer().run(answer);
                        }
                    },
                    due - time.now(TimeUnit.MILLISECONDS),
                    TimeUnit.MILLISECONDS);
        }

        private void cancel() {
            cancelled = true;
            if (running != null) {
                running.dispose();
            }
        }

        /** Fails the call with a connection error some time after the receiver has died. */
        private void watchReceiver() {
            if (sink.isCancelled()) {
                return;
            }
            if (to.timer().isDead()) {
                from.timer().run(() -> sink.error(new IllegalStateException("connection reset")));
                return;
            }
            time.schedule(this::watchReceiver, 50, TimeUnit.MILLISECONDS);
        }
    }
}
