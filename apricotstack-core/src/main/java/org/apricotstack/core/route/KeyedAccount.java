package org.apricotstack.core.route;

import org.apricotstack.core.id.AccountName;

/**
 * A client account that was identified by its key.
 *
 * @param name the account
 * @param priority priority of its requests, which takes precedence over that of the route; 0 is the most urgent,
 *     negative if none is configured
 */
public record KeyedAccount(AccountName name, int priority) {}
