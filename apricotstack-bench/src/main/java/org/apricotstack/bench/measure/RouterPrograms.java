package org.apricotstack.bench.measure;

/** Routers that run as processes of their own, and end when this is closed. */
public interface RouterPrograms extends AutoCloseable {

    /**
     * Starts one more router.
     *
     * @return its process
     */
    ProcessHandle start();

    @Override
    void close();
}
