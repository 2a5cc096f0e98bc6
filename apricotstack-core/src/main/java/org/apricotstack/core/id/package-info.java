/**
 * Value types for the names of hosts, data centres, client accounts, upstreams and the work they carry.
 */
package org.apricotstack.core.id;
