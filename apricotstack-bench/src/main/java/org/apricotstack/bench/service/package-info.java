/**
 * Simulated plain services that count the executions of each call.
 */
package org.apricotstack.bench.service;
