/**
 * Typed refusals and failures, each with a code, an outcome and a remedy.
 */
package org.apricotstack.core.failure;
