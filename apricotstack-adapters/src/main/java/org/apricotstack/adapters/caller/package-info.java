/**
 * Callers over HTTP.
 */
package org.apricotstack.adapters.caller;
