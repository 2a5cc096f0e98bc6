/**
 * The router that owns an engine group: it queues, runs and watches the work of the group.
 */
package org.apricotstack.core.owner;
