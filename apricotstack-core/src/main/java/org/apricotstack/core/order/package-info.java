/**
 * Desired states of upstreams as a function of the published configuration; an order asks an upstream for its state.
 */
package org.apricotstack.core.order;
