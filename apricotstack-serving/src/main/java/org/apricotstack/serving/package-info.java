/** A router that serves callers on a platform whose published state it can only read. */
package org.apricotstack.serving;
