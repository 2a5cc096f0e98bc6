/**
 * Ownership of engine groups and the choice of a group for a request.
 */
package org.apricotstack.core.routing;
