/**
 * A stand-in for plain services, with a ledger of what was run.
 */
package org.apricotstack.bench.service;
