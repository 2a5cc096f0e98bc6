/**
 * Value types for the names of hosts, data centres, client accounts, upstreams and the work they carry.
 *
 * <p>Those that serve as keys write {@code equals} and {@code hashCode} out. The ones that a record has otherwise are
 * linked by the runtime at their first use, which with the texts that are put together took a fifth of the Java samples
 * of a start.
 */
package org.apricotstack.core.id;
