package org.apricotstack.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.test.scheduler.VirtualTimeScheduler;

/** The timer of one process in virtual time: its tasks wait while the process is paused, and are lost when it dies. */
public final class NodeScheduler implements Scheduler {

    private final VirtualTimeScheduler time;
    private final List<Runnable> heldTasks = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    /** Creates the timer of a living process. */
    public NodeScheduler(VirtualTimeScheduler time) {
        this.time = time;
    }

    /** Runs a task now, later, or never. */
    public void run(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            heldTasks.add(task);
        } else {
            task.run();
        }
    }

    /** Stops all tasks until {@link #resume()}. */
    public void pause() {
        paused = true;
    }

    /** Runs what has waited, in its order. */
    public void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(heldTasks);
        heldTasks.clear();
        tasks.forEach(this::run);
    }

    /** Loses all tasks for good. */
    public void kill() {
        dead = true;
        heldTasks.clear();
    }

    /** Tells whether the process is dead. */
    public boolean isDead() {
        return dead;
    }

    @Override
    public Disposable schedule(Runnable task) {
        return time.schedule(() -> run(task));
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        return time.schedule(() -> run(task), delay, unit);
    }

    @Override
    public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
        return time.schedulePeriodically(() -> run(task), initialDelay, period, unit);
    }

    @Override
    public Worker createWorker() {
        Worker worker = time.createWorker();
        return new Worker() {
            @Override
            public Disposable schedule(Runnable task) {
                return worker.schedule(() -> run(task));
            }

            @Override
            public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
                return worker.schedule(() -> run(task), delay, unit);
            }

            @Override
            public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
                return worker.schedulePeriodically(() -> run(task), initialDelay, period, unit);
            }

            @Override
            public void dispose() {
                worker.dispose();
            }
        };
    }

    @Override
    public long now(TimeUnit unit) {
        return time.now(unit);
    }
}
