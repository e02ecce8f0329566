/** Measures what a node adds to a call of an upstream. */
package org.cranberrystand.bench.overhead;
