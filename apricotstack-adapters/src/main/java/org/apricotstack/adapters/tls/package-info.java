/**
 * Keys and certificates.
 */
package org.apricotstack.adapters.tls;
