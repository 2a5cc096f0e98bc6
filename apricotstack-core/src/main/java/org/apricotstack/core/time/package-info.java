/**
 * Monotonic time, deadlines, and deadlines expressed in the clock of another process.
 */
package org.apricotstack.core.time;
