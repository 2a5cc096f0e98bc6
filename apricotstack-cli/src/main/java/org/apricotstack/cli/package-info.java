/**
 * The command line {@code bin/apricot}.
 */
package org.apricotstack.cli;
