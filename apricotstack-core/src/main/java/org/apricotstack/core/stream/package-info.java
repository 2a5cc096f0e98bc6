/**
 * Checks that an answer is whole and belongs to its attempt.
 */
package org.apricotstack.core.stream;
