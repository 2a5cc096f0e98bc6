/**
 * Tickets that let a request run at most once.
 */
package org.apricotstack.core.ticket;
