/**
 * The decision whether a failed attempt may be followed by another.
 */
package org.apricotstack.core.retry;
