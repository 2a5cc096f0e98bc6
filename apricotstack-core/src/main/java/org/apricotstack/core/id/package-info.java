/**
 * Value types for the names and ids of hosts, data centres, client accounts, upstreams, requests and attempts.
 *
 * <p>Types that are used as keys implement {@code equals} and {@code hashCode} explicitly. The generated methods of a
 * record are linked by the runtime at their first use, which together with string concatenation took a fifth of the
 * Java samples of a start.
 */
package org.apricotstack.core.id;
