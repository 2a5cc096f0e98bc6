/** The owner of an engine group: the router that queues, runs and supervises the attempts of the group. */
package org.apricotstack.core.owner;
