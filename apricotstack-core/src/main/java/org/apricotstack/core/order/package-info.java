/**
 * Orders to upstreams as a function of the published configuration.
 */
package org.apricotstack.core.order;
