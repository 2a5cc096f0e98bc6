/**
 * The router process, assembled from the core and the adapters.
 */
package org.apricotstack.router;
