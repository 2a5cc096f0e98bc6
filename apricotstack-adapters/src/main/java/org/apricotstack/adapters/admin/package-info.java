/**
 * HTTP server for operators.
 */
package org.apricotstack.adapters.admin;
