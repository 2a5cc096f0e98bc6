/** Log lines and metrics, from which an operator explains a failure afterwards. */
package org.apricotstack.serving.observe;
