/** A router that serves callers on a platform whose published state can only be read. */
package org.apricotstack.serving;
