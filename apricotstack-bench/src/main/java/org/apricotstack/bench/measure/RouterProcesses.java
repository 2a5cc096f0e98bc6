package org.apricotstack.bench.measure;

/** Routers that run as separate processes, and are stopped on close. */
public interface RouterProcesses extends AutoCloseable {

    /**
     * Starts one more router.
     *
     * @return its process
     */
    ProcessHandle start();

    @Override
    void close();
}
