/**
 * A router, assembled from the core and its adapters.
 */
package org.apricotstack.router;
