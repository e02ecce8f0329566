/** Demonstration of the request path with an embedded fleet. */
package org.cranberrystand.bench.demo;
