package org.apricotstack.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * The scheduler of one process in virtual time: tasks are held back while the process is paused, and dropped when it
 * dies.
 */
public final class NodeScheduler implements Scheduler {

    private final VirtualTimeScheduler time;
    private final List<Runnable> heldTasks = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    /** Creates the scheduler of a running process. */
    public NodeScheduler(VirtualTimeScheduler time) {
        this.time = time;
    }

    /** Runs a task now, after the pause, or never if the process is dead. */
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

    /** Holds back all tasks until {@link #resume()}. */
    public void pause() {
        paused = true;
    }

    /** Runs the held tasks in their order. */
    public void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(heldTasks);
        heldTasks.clear();
        tasks.forEach(this::run);
    }

    /** Drops all tasks permanently. */
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
