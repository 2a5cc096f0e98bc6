package org.apricotstack.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscription;
import reactor.core.Disposable;
import reactor.core.publisher.BaseSubscriber;
import reactor.util.context.Context;

/**
 * Subscribes to a call and handles its outcome exactly once.
 *
 * <p>Reactor rethrows errors such as {@link StackOverflowError} instead of passing them on, and drops what is thrown
 * after an outcome, so that neither the result nor a failure arrives. Here every such case is a failure of the call:
 * an exception or error of the receiver, one that an operator dropped, and an outcome that is overdue.
 *
 * @param <T> the type of the result
 */
public final class OutcomeSubscriber<T> extends BaseSubscriber<T> {

    /** Time after the time limit of a call at which its outcome counts as lost, in milliseconds. */
    static final long GRACE_MILLIS = 500;

    /** Context key under which operators look for the handler of errors that they would drop. */
    private static final String DROPPED_ERRORS = "reactor.onErrorDropped.local";

    private final ServingLoop loop;
    private final Consumer<? super T> onResult;
    private final Consumer<? super Throwable> onFailure;
    private final Context context;
    private ScheduledFuture<?> overdue;
    private boolean handled;

    /** Creates a subscriber without a subscription. */
    private OutcomeSubscriber(ServingLoop loop, Consumer<? super T> onResult, Consumer<? super Throwable> onFailure) {
        this.loop = loop;
        this.onResult = onResult;
        this.onFailure = onFailure;
        Consumer<Throwable> onDropped = this::dropped;
        this.context = Context.of(DROPPED_ERRORS, onDropped, OutcomeSubscriber.class, this);
    }

    /**
     * Subscribes to a call. If the receiver of the result throws, the receiver of a failure is called with what it
     * threw, and the loop reports it.
     *
     * @param loop the event loop
     * @param call the call
     * @param onResult receives the result; not called if the call completes without one
     * @param onFailure receives the failure
     * @param <T> the type of the result
     * @return a handle to cancel the call, after which no receiver is called
     */
    public static <T> Disposable subscribe(
            ServingLoop loop, Publisher<T> call, Consumer<? super T> onResult, Consumer<? super Throwable> onFailure) {
        OutcomeSubscriber<T> subscriber = new OutcomeSubscriber<>(loop, onResult, onFailure);
        try {
            call.subscribe(subscriber);
        } catch (RuntimeException | Error e) {
            subscriber.dropped(e);
        }
        return subscriber;
    }

    /**
     * Starts the time limit of a step of the call; the next step replaces it.
     *
     * @param timeLimitMillis time limit of the step, in milliseconds
     */
    void stepStarted(long timeLimitMillis) {
        if (handled) {
            return;
        }
        stopTimer();
        overdue = loop.schedule(timeLimitMillis + GRACE_MILLIS, this::outcomeLost);
    }

    @Override
    public Context currentContext() {
        return context;
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    protected void hookOnNext(T result) {
        if (!take()) {
            return;
        }
        try {
            onResult.accept(result);
        } catch (RuntimeException | Error e) {
            loop.taskFailed(e);
            receiveFailure(e);
        }
    }

    @Override
    protected void hookOnError(Throwable failure) {
        if (take()) {
            receiveFailure(failure);
        }
    }

    @Override
    protected void hookOnComplete() {
        take();
    }

    @Override
    protected void hookOnCancel() {
        take();
    }

    /** Handles what was thrown where no receiver would learn of it; after the outcome it is only reported. */
    private void dropped(Throwable failure) {
        loop.taskFailed(failure);
        hookOnError(failure);
    }

    /** Ends a call whose outcome was not handled in time. */
    private void outcomeLost() {
        if (handled) {
            return;
        }
        dropped(new ApricotException(
                ErrorCode.PLATFORM_PROTOCOL, "The outcome of a call was not handled in time; it counts as failed."));
        cancel();
    }

    /** Takes the right to handle the outcome, and returns whether nobody had it. */
    private boolean take() {
        boolean first = !handled;
        handled = true;
        stopTimer();
        return first;
    }

    /** Stops the timer of the current step. */
    private void stopTimer() {
        if (overdue != null) {
            overdue.cancel(false);
        }
    }

    /** Passes on a failure. */
    private void receiveFailure(Throwable failure) {
        try {
            onFailure.accept(failure);
        } catch (RuntimeException | Error e) {
            loop.taskFailed(e);
        }
    }
}
