/**
 * The platform's documents over HTTP.
 */
package org.apricotstack.adapters.platform;
