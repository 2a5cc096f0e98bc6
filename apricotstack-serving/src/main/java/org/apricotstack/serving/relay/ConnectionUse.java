package org.apricotstack.serving.relay;

import java.util.function.BooleanSupplier;

/** Receives the use of a connection that another router opened. */
public interface ConnectionUse {

    /** Records that something complete has arrived or was relayed. */
    void used();

    /**
     * Sets what tells whether a response may be outstanding on the connection, which must not be closed then.
     *
     * @param inUse returns whether the connection is in use
     */
    void inUseWhile(BooleanSupplier inUse);
}
