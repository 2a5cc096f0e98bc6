/**
 * HTTP server for callers.
 */
package org.apricotstack.adapters.caller;
