/**
 * Model engines and plain services over HTTP.
 */
package org.apricotstack.adapters.upstream;
