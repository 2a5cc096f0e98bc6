/**
 * The path of one request through the router that admitted it.
 */
package org.apricotstack.core.entry;
