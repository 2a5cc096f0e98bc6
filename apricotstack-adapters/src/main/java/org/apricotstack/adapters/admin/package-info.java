/**
 * Operators over HTTP.
 */
package org.apricotstack.adapters.admin;
