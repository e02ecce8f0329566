/** Demonstration of the request path. */
package org.cranberrystand.bench.demo;
