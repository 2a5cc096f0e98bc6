package org.apricotstack.core.route;

import org.apricotstack.core.id.ClientAccountId;

/**
 * A client account as requests see it.
 *
 * @param id the account
 * @param priority rank of its requests, which goes before their route's; 0 is the most urgent, negative if it has none
 */
public record KeyedAccount(ClientAccountId id, int priority) {}
