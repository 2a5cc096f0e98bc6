/** Determines the route and the service of a request from the published configuration. */
package org.apricotstack.core.route;
