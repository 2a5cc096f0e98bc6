/** Tickets, which ensure that a request runs at most once. */
package org.apricotstack.core.ticket;
