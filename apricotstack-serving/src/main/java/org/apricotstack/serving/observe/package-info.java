/** Log lines and metrics for the diagnosis of failures. */
package org.apricotstack.serving.observe;
