/** Policies and budgets for retrying failed attempts. */
package org.apricotstack.core.retry;
