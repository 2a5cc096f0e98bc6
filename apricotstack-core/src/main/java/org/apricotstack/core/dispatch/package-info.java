/**
 * The queue of one engine group: admission, order, choice of engines, prediction of times.
 */
package org.apricotstack.core.dispatch;
