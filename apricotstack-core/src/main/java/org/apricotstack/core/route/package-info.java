/** Decides from a published configuration which service a request goes to, and what may be done with it. */
package org.apricotstack.core.route;
