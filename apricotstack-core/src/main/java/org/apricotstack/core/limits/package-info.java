/**
 * Rate, concurrency and memory limits.
 */
package org.apricotstack.core.limits;
