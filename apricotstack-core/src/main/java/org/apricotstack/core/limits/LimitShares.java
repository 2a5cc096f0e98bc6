package org.apricotstack.core.limits;

import org.apricotstack.core.id.ClientAccountId;

/** Port: the share of a client account's fleet-wide limits that this router may use now. */
@FunctionalInterface
public interface LimitShares {

    /**
     * Returns the share.
     *
     * @param account the client account
     * @return 0 to 1
     */
    double share(ClientAccountId account);
}
